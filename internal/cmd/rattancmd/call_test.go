package rattancmd

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/protobuf/proto"

	"github.com/rattanstream/rattanstream/internal/wire/rattanv1"
)

const (
	sessionHeader = "Rattanstream-Session"
	callTimeout   = 10 * time.Second
)

// cmdCall sends a caller's request as JSON and prints the response, or with "!"
// expects a refusal and prints its reason and run state.
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	output, err := call(ts, args)
	fmt.Fprintln(ts.Stdout(), output)
	if (err != nil) != neg {
		ts.Fatalf("unexpected outcome of call: error is %v", err)
	}
}

// call takes [-key KEY] [-session FILE] [-authority FILE] URL METHOD JSON. The
// session token is read from the file and stored there.
func call(ts *testscript.TestScript, args []string) (string, error) {
	flags := map[string]string{"-key": ts.Getenv("KEY")}
	for len(args) > 1 && strings.HasPrefix(args[0], "-") {
		flags[args[0]], args = args[1], args[2:]
	}
	if len(args) != 3 {
		ts.Fatalf("usage: call [-key KEY] [-session FILE] [-authority FILE] URL METHOD JSON")
	}
	client, err := operatorFlags{authority: flags["-authority"], url: args[0]}.httpClient()
	ts.Check(err)
	defer client.CloseIdleConnections()
	session := ""
	if file := flags["-session"]; file != "" {
		if text, err := os.ReadFile(ts.MkAbs(file)); err == nil {
			session = strings.TrimSpace(string(text))
		}
	}
	response, err := post(client, args[0], args[1], flags["-key"], session, args[2])
	if file := flags["-session"]; file != "" && response.session != "" {
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(response.session), 0o600))
	}
	return response.body, err
}

// cmdCallSized sends a statement with a string literal of the given size.
func cmdCallSized(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: [!] callsized BYTES URL")
	}
	size, err := strconv.Atoi(args[0])
	ts.Check(err)
	body := fmt.Sprintf(`{"service":"orders","statement":{"text":"SELECT id FROM items WHERE id = '%s'"}}`, strings.Repeat("x", size))
	cmdCall(ts, neg, []string{args[1], "Execute", body})
}

// A callResponse is the body and the session token that a caller gets.
type callResponse struct {
	body    string
	session string
}

// post sends one request. The error of a refusal reads "REASON RUN_STATE MESSAGE".
func post(client *http.Client, url, method, key, session, body string) (callResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		url+"/rattanstream.v1.CallerService/"+method, bytes.NewBufferString(body))
	if err != nil {
		return callResponse{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if session != "" {
		request.Header.Set(sessionHeader, session)
	}
	response, err := client.Do(request)
	if err != nil {
		return callResponse{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return callResponse{}, err
	}
	if response.StatusCode != http.StatusOK {
		refusal := describeRefusal(text)
		return callResponse{body: refusal}, errors.New(refusal)
	}
	return callResponse{body: string(text), session: response.Header.Get(sessionHeader)}, nil
}

// describeRefusal returns the refusal's reason, its run state and the message of a
// Connect error.
func describeRefusal(text []byte) string {
	var connectError struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Details []struct {
			Value string `json:"value"`
		} `json:"details"`
	}
	if err := json.Unmarshal(text, &connectError); err != nil || len(connectError.Details) == 0 {
		return "response has no refusal: " + string(text)
	}
	value, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(connectError.Details[0].Value, "="))
	if err != nil {
		return "response has no refusal: " + string(text)
	}
	refusal := &rattanv1.Refusal{}
	if err := proto.Unmarshal(value, refusal); err != nil {
		return "response has no refusal: " + string(text)
	}
	return fmt.Sprintf("%s %s %s", refusal.GetReason(), refusal.GetRunState(), connectError.Message)
}
