// Command toyengine is a fake engine that offers only the chat API. It streams the text of the last message
// back, word by word, to demonstrate the gateway without a model.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net/http"
	"strings"
	"time"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:9001", "listen address (host:port)")
	wordInterval := flag.Duration("pace", 80*time.Millisecond, "time between words")
	cutAfter := flag.Int("cut", 0, "number of words after which every stream is cut off; 0 = never")
	flag.Parse()
	http.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { answer(w, r, *wordInterval, *cutAfter) })
	log.Printf("toy engine on %s", *listen)
	log.Fatal(http.ListenAndServe(*listen, nil))
}

// answer streams the last message back. It cuts the stream off after cutAfter words, if that is above 0.
func answer(w http.ResponseWriter, r *http.Request, wordInterval time.Duration, cutAfter int) {
	var request struct {
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 256<<10)).Decode(&request); err != nil || len(request.Messages) == 0 {
		http.Error(w, "no messages", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	words := strings.Fields("You asked: " + request.Messages[len(request.Messages)-1].Content)
	for i, word := range words {
		if cutAfter > 0 && i == cutAfter {
			panic(http.ErrAbortHandler) // closes the connection without the final chunk
		}
		text, _ := json.Marshal(word + " ")
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n", text)
		if out.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(wordInterval):
		}
	}
	fmt.Fprint(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n")
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", len(words), len(words))
}
