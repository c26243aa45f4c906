// Command egretrampctl is the operators' tool.
package main

func main() {}
