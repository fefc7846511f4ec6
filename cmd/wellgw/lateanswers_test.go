package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"wellgw/internal/enginetest"
)

var questionMark = regexp.MustCompile(`mark-[a-z]+-[0-9]+`)

// Two teams ask engines that repeat one answer in five some milliseconds late. A repeated answer used to
// be given to the next request on its connection, also to one of the other team.
func TestRepeatedAnswersReachNoOtherClient(t *testing.T) {
	const requests, clientsPerTeam, repeatEvery = 60, 2, 5
	const longestDelay = 20 * time.Millisecond // within the time for which the gateway leaves a connection idle
	script := func(c enginetest.Call) string {
		event, err := json.Marshal(map[string]any{"choices": []any{map[string]any{
			"index": 0, "delta": map[string]string{"content": questionMark.FindString(c.Body)}, "finish_reason": "stop",
		}}})
		if err != nil {
			panic(err)
		}
		answer := enginetest.StreamHead + enginetest.Chunk("data: "+string(event)+"\n\n") + enginetest.Chunk("data: [DONE]\n\n") + "0\r\n\r\n"
		if c.Number%repeatEvery != 0 {
			return answer
		}
		return answer + enginetest.PauseWithin(time.Duration(2+c.Number%10)*time.Millisecond, longestDelay) + answer
	}
	var engines []string
	for _, id := range []string{"e1", "e2"} {
		engines = append(engines, fmt.Sprintf(`{"id": %q, "address": %q, "role": "openai"}`, id, enginetest.NewEngine(t, script).Addr))
	}
	config := strings.NewReplacer(
		`{"name": "t", "keys": ["k"], "models": ["m"]}`, `{"name": "red", "keys": ["red"], "models": ["m"]}, {"name": "blue", "keys": ["blue"], "models": ["m"]}`,
		`{"id": "e", "address": "127.0.0.1:9", "role": "openai"}`, strings.Join(engines, ","),
	).Replace(operatorConfig)
	_, url := startServing(t, nil, "serve", "--operator", writeConfig(t, config))
	waitHealthy(t, url)
	var clients sync.WaitGroup
	for _, team := range []string{"red", "blue"} {
		for n := range clientsPerTeam {
			clients.Go(func() {
				for i := range requests {
					mark := fmt.Sprintf("mark-%s-%d", team, n*requests+i)
					status, answer := askChat(t, url, team, mark, i%2 == 0)
					for _, got := range questionMark.FindAllString(answer, -1) {
						if got != mark {
							t.Errorf("%s got the answer to %s", mark, got)
						}
					}
					if status == http.StatusOK && !strings.Contains(answer, mark) {
						t.Errorf("%s got status 200 without its answer: %s", mark, answer)
					}
					time.Sleep(time.Duration(i%15) * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
}

// askChat sends one chat request with a key and returns the status and the body; 0 without an answer.
func askChat(t *testing.T, url, key, question string, stream bool) (int, string) {
	t.Helper()
	return postChatWithKey(t, url, key, fmt.Sprintf(`{"model":"m","stream":%v,"messages":[{"role":"user","content":%q}]}`, stream, question))
}

// postChatBody is postChatWithKey with the key of operatorConfig.
func postChatBody(t *testing.T, url, body string) (int, string) {
	t.Helper()
	return postChatWithKey(t, url, "k", body)
}

// postChatWithKey sends a chat request and returns the status and the body; 0 without an answer.
func postChatWithKey(t *testing.T, url, key, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}
