package openai

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// testAnswerBytes is the size of answers in these tests; testBudget holds four of them.
const testAnswerBytes = 1 << 20

func testBudget() *answerBudget {
	const answers = 4
	return newAnswerBudget(answers*testAnswerBytes*answerMemoryFactor + maxResponseBytes*answerMemoryFactor)
}

// reserveAnswers reserves the memory of n answers.
func reserveAnswers(t *testing.T, b *answerBudget, n int) (held []*answerReservation) {
	t.Helper()
	for range n {
		r, err := b.reserve(t.Context(), testAnswerBytes, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, r)
	}
	return held
}

// A request waits for the memory of its answer, and is refused if there is none in time.
func TestReservationWaitsForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBudget()
		held := reserveAnswers(t, b, 4)
		if _, err := b.reserve(t.Context(), testAnswerBytes, time.Second); !errors.Is(err, errAnswerMemory) {
			t.Errorf("a fifth answer: %v, want errAnswerMemory", err)
		}
		gone, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		if _, err := b.reserve(gone, testAnswerBytes, time.Minute); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a client that leaves: %v", err)
		}
		time.AfterFunc(time.Second, held[1].release)
		began := time.Now()
		if _, err := b.reserve(t.Context(), testAnswerBytes, time.Minute); err != nil || time.Since(began) != time.Second {
			t.Errorf("after one answer has ended: %v after %v", err, time.Since(began))
		}
	})
}

// Answers that are larger than expected wait for memory, except for the oldest, so that all end.
func TestOldestAnswerGrowsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBudget()
		held := reserveAnswers(t, b, 4)
		began := time.Now()
		if err := held[0].grow(t.Context(), maxResponseBytes); err != nil || time.Since(began) != 0 {
			t.Errorf("the oldest answer: %v after %v", err, time.Since(began))
		}
		gone, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		if err := held[2].grow(gone, 2*testAnswerBytes); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("another answer: %v, want a wait", err)
		}
		time.AfterFunc(time.Second, held[0].release)
		began = time.Now()
		if err := held[1].grow(t.Context(), 2*testAnswerBytes); err != nil || time.Since(began) != time.Second {
			t.Errorf("another answer, which becomes the oldest: %v after %v", err, time.Since(began))
		}
	})
}

// Whatever the sizes of answers and whenever clients leave, all requests end, the limit is exceeded by no
// more than one answer, and all memory is free in the end.
func TestAnswerBudgetIsKept(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			b := testBudget()
			random := rand.New(rand.NewPCG(seed, 1))
			var requests sync.WaitGroup
			for range 200 {
				expected, actual := 1+random.IntN(2*testAnswerBytes), 1+random.IntN(maxResponseBytes)
				start, pause := time.Duration(random.IntN(5000))*time.Millisecond, time.Duration(random.IntN(50))*time.Millisecond
				patience := time.Duration(random.IntN(60)) * time.Second
				requests.Go(func() {
					time.Sleep(start)
					ctx, cancel := context.WithTimeout(t.Context(), patience)
					defer cancel()
					r, err := b.reserve(ctx, expected, 10*time.Second)
					if err != nil {
						return
					}
					defer r.release()
					for held := 0; held < actual; held += 256 << 10 {
						time.Sleep(pause)
						if r.grow(ctx, held) != nil {
							return
						}
						checkBudget(t, b)
					}
				})
			}
			requests.Wait()
			if b.available != b.capacity || b.held.Len()+b.waiting.Len()+b.growing != 0 {
				t.Errorf("seed %d: %d of %d bytes free, %d held, %d waiting, %d growing", seed, b.available, b.capacity, b.held.Len(), b.waiting.Len(), b.growing)
			}
		})
	}
}

// checkBudget checks that the limit is exceeded by no more than one answer.
func checkBudget(t *testing.T, b *answerBudget) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := int64(0)
	for e := b.held.Front(); e != nil; e = e.Next() {
		sum += e.Value.(*answerReservation).bytes
	}
	if sum != b.capacity-b.available || sum > b.capacity+maxResponseBytes*answerMemoryFactor {
		t.Errorf("%d bytes are reserved of %d, %d count as free", sum, b.capacity, b.available)
	}
}

// A collector holds about the bytes of the answer, not a tree of the values in each event.
func TestCollectorHoldsAboutTheAnswer(t *testing.T) {
	const tokens = 1500
	const event = `data: {"choices":[{"index":0,"delta":{"content":" part"},"logprobs":{"content":[{"token":" part","logprob":-0.25,"bytes":[32,112],"top_logprobs":[{"token":"a","logprob":-1,"bytes":[97]}]}]},"finish_reason":null}]}` + "\n\n"
	c := newCollector(testMetadata)
	for range tokens {
		if _, err := c.translate(nil, []byte(event)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.translate(nil, []byte(`data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\n")); err != nil {
		t.Fatal(err)
	}
	held := c.heldBytes()
	answer, err := c.finish(nil)
	if err != nil {
		t.Fatal(err)
	}
	if held > len(answer)+len(answer)/8 || held < len(answer)/2 {
		t.Errorf("%d bytes are held for an answer of %d", held, len(answer))
	}
	if allocations := testing.AllocsPerRun(1, func() { _ = c.root.json(nil, false) }); allocations > tokens/4 {
		t.Errorf("%.0f allocations to encode %d tokens", allocations, tokens)
	}
}
