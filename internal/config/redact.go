package config

// Redacted stands for a secret or hash in a redacted file.
const Redacted = "(redacted)"

// Redact returns a copy of the file without secrets and key hashes, fit for reports. Comments
// are gone with the text, since operators may have written secrets there.
func (f *File) Redact() *File {
	redacted := *f
	redacted.ClientAccounts = make([]ClientAccount, len(f.ClientAccounts))
	for i, account := range f.ClientAccounts {
		keys := make([]Key, len(account.Keys))
		for k, key := range account.Keys {
			keys[k] = Key{ID: key.ID, SHA256: Redacted}
		}
		account.Keys = keys
		redacted.ClientAccounts[i] = account
	}
	redacted.Upstreams = make([]UpstreamClass, len(f.Upstreams))
	for i, class := range f.Upstreams {
		class.Secret = Redacted
		redacted.Upstreams[i] = class
	}
	return &redacted
}
