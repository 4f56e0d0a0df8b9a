package rattananswer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanstream/rattanstream/internal/base/rattanmodel"
	"github.com/rattanstream/rattanstream/internal/caller/rattanstatement"
)

// isSigned reports whether a success of a request of a kind has a signature.
func isSigned(kind rattanstatement.Kind) bool {
	switch kind {
	case rattanstatement.Read, rattanstatement.Write, rattanstatement.Execute, rattanstatement.Commit:
		return true
	default:
		return false
	}
}

// rows returns how many rows a success without a signature has.
func rows(kind rattanstatement.Kind) int {
	if kind == rattanstatement.Status || kind == rattanstatement.StepDown {
		return 1
	}
	return 0
}

// answers reports whether a request that was sent in an open session may end with a code.
func answers(request rattanstatement.Request, code rattanstatement.Code) bool {
	switch code {
	case rattanstatement.Behind:
		return request.MinPosition != rattanmodel.Position{}
	case rattanstatement.UnknownPrepared:
		return request.Kind == rattanstatement.Execute
	case rattanstatement.WrongEndpoint, rattanstatement.TooManyConnections:
		return false
	default:
		return true
	}
}

// isOnlyOf reports whether no setup request may end with a code, so that the error is that of
// the statement.
func isOnlyOf(request rattanstatement.Request, code rattanstatement.Code) bool {
	switch request.Kind {
	case rattanstatement.Set, rattanstatement.Prepare, rattanstatement.Reset:
		return false
	}
	switch code {
	case rattanstatement.Behind, rattanstatement.ReadOnly, rattanstatement.UnknownPrepared:
		return true
	default:
		return false
	}
}

func signatureDigest(result rattanstatement.Result) uint64 {
	return xxhash.Sum64String(result.Signature)
}

// errorDigest leaves out the position, with which an endpoint may have moved on.
func errorDigest(result rattanstatement.Result) uint64 {
	digest := xxhash.New()
	writeNumber(digest, uint64(result.Code))
	writeText(digest, result.Detail)
	return digest.Sum64()
}

func answerDigest(result rattanstatement.Result) uint64 {
	digest := xxhash.New()
	writeNumber(digest, uint64(result.TransactionStatus))
	writeNumber(digest, result.Position.Term)
	writeNumber(digest, result.Position.Index)
	writeText(digest, result.Signature)
	for _, row := range result.Rows {
		writeText(digest, row)
	}
	return digest.Sum64()
}

func writeNumber(digest *xxhash.Digest, number uint64) {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], number)
	_, _ = digest.Write(encoded[:])
}

// writeText writes the length before the text, so that texts in a row stay apart.
func writeText(digest *xxhash.Digest, text string) {
	writeNumber(digest, uint64(len(text)))
	_, _ = digest.WriteString(text)
}
