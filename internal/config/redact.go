package config

// Redacted replaces secrets and hashes in a redacted file.
const Redacted = "(redacted)"

// Redact returns a copy of the file without secrets and key hashes, for use in reports. The
// comments of the text, in which operators may have written secrets, are not part of a File.
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
