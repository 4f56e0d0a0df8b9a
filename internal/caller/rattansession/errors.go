package rattansession

import "fmt"

// A MalformedError reports a text that does not have the format of a sealed token,
// or whose sealed content is not the encoding of a token.
type MalformedError struct {
	// Problem says what is wrong with the text.
	Problem string
}

// Error implements the error interface.
func (e *MalformedError) Error() string {
	return "session token is malformed: " + e.Problem
}

// A ForgedError reports a token that no accepted key has sealed. It was forged,
// damaged, or sealed with a key that is no longer accepted.
type ForgedError struct{}

// Error implements the error interface.
func (e *ForgedError) Error() string {
	return "session token was not sealed with an accepted key"
}

// A ClientAccountError reports a valid token of another client account. The message
// does not name that client account, so that the caller does not learn it.
type ClientAccountError struct {
	// Want is the client account of the request.
	Want string
}

// Error implements the error interface.
func (e *ClientAccountError) Error() string {
	return fmt.Sprintf("session token does not belong to client account %q", e.Want)
}

// A TooLongError reports a token that is longer than MaxLength.
type TooLongError struct {
	// Length is the token's length in bytes.
	Length int
}

// Error implements the error interface.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("session token has %d bytes, at most %d are accepted", e.Length, MaxLength)
}

// A KeyError reports a seal key of the wrong length. The message does not contain
// the key, because it is secret.
type KeyError struct {
	// Key is the name of the key in the settings.
	Key string
	// Length is the length of the key in bytes.
	Length int
}

// Error implements the error interface.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%s has %d bytes, want %d", e.Key, e.Length, KeyLength)
}
