// Command egretrampd is the daemon that runs on every VM.
package main

func main() {}
