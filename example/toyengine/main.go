// Command toyengine is a fake engine that offers only the chat API. It
// streams back what it was asked, word by word, so that a newcomer can watch the
// gateway at work without any model.
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
	listen := flag.String("listen", "127.0.0.1:9001", "where to listen")
	pace := flag.Duration("pace", 80*time.Millisecond, "time between words")
	cut := flag.Int("cut", 0, "break every stream after so many words; 0 = never")
	flag.Parse()
	http.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { answer(w, r, *pace, *cut) })
	log.Printf("toy engine on %s", *listen)
	log.Fatal(http.ListenAndServe(*listen, nil))
}

func answer(w http.ResponseWriter, r *http.Request, pace time.Duration, cut int) {
	var q struct {
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 256<<10)).Decode(&q); err != nil || len(q.Messages) == 0 {
		http.Error(w, "no messages", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	words := strings.Fields("You asked: " + q.Messages[len(q.Messages)-1].Content)
	for i, word := range words {
		if cut > 0 && i == cut {
			panic(http.ErrAbortHandler) // ends the connection without the last chunk
		}
		text, _ := json.Marshal(word + " ")
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n", text)
		if out.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pace):
		}
	}
	fmt.Fprint(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n")
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", len(words), len(words))
}
