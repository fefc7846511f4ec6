package idempotency

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"syscall"
	"time"
)

// bbolt follows the references and sizes in a file without checking them, through unsafe pointers: damage
// can end the process, or occupy all memory. So the structure of a file is checked here before bbolt opens
// it. The layout is that of bbolt's file format, version 2.

// Sizes in bytes.
const (
	pageHeaderSize   = 16 // id 8, flags 2, count 2, overflow 4
	elementSize      = 16 // of a branch: position 4, key size 4, page 8; of a leaf: flags 4, position 4, key size 4, value size 4
	bucketHeaderSize = 16 // page of its root 8, sequence 8
	metaSize         = 64 // magic 4, version 4, page size 4, flags 4, root bucket 16, freelist 8, end 8, transaction 8, checksum 8
	checksummedMeta  = 56
)

// Flags and marks.
const (
	flagBranch    = 0x01
	flagLeaf      = 0x02
	flagFreelist  = 0x10
	flagBucket    = 0x01 // of an element
	magicNumber   = 0xED0CDAED
	noFreelist    = ^uint64(0)
	manyFreePages = 0xFFFF // as the count of a freelist: the first entry is the count
)

const (
	minPageSize = 1 << 10
	maxPageSize = 64 << 10
	lockRetry   = 50 * time.Millisecond
)

// checkFile returns an error that wraps errDamaged if the structure of the file at path is damaged. It
// waits until no other process uses the file. There may be no file.
func checkFile(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close() // which unlocks it
	if err := lockFile(f); err != nil {
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil || len(data) == 0 { // bbolt initialises an empty file
		return err
	}
	return checkPages(data)
}

// lockFile locks a file for this process.
func lockFile(f *os.File) error {
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetry) {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil || !errors.Is(err, syscall.EWOULDBLOCK) {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is in use by another process: %w", f.Name(), err)
		}
	}
}

// meta is the part of a meta page that leads to the other pages.
type meta struct {
	pageSize    uint64
	root        uint64 // page of the bucket that contains the others
	freelist    uint64
	end         uint64 // number of pages
	transaction uint64
}

// pageChecker follows the references of a file.
type pageChecker struct {
	data    []byte
	meta    meta
	visited map[uint64]bool
}

// checkPages checks the structure of a file with the given content.
func checkPages(data []byte) error {
	current, found := currentMeta(data)
	if !found {
		return fmt.Errorf("%w: no valid meta page", errDamaged)
	}
	c := &pageChecker{data: data, meta: current, visited: map[uint64]bool{}}
	if current.end*current.pageSize > uint64(len(data)) {
		return fmt.Errorf("%w: the file is too short", errDamaged)
	}
	if err := c.checkFreelist(); err != nil {
		return err
	}
	return c.checkTree(current.root, true)
}

// currentMeta returns the valid meta page of the later transaction.
func currentMeta(data []byte) (current meta, found bool) {
	for size := uint64(minPageSize); size <= maxPageSize; size *= 2 {
		for _, start := range []uint64{0, size} {
			m, valid := readMeta(data, start)
			if valid && m.pageSize == size && (!found || m.transaction > current.transaction) {
				current, found = m, true
			}
		}
	}
	return current, found
}

// readMeta returns the meta page at an offset.
func readMeta(data []byte, start uint64) (m meta, valid bool) {
	if uint64(len(data)) < start+pageHeaderSize+metaSize {
		return meta{}, false
	}
	raw := data[start+pageHeaderSize:][:metaSize]
	sum := fnv.New64a()
	sum.Write(raw[:checksummedMeta])
	number := binary.LittleEndian
	if number.Uint32(raw) != magicNumber || number.Uint64(raw[checksummedMeta:]) != sum.Sum64() {
		return meta{}, false
	}
	return meta{
		pageSize: uint64(number.Uint32(raw[8:])), root: number.Uint64(raw[16:]), freelist: number.Uint64(raw[32:]),
		end: number.Uint64(raw[40:]), transaction: number.Uint64(raw[48:]),
	}, true
}

// page is a page with those that continue it.
type page struct {
	flags uint16
	count int
	raw   []byte // with the header
}

// page returns a page that is referenced for the first time.
func (c *pageChecker) page(id uint64) (page, error) {
	if id < 2 || id >= c.meta.end || c.visited[id] {
		return page{}, fmt.Errorf("%w: invalid reference to page %d", errDamaged, id)
	}
	c.visited[id] = true
	p := readPage(c.data[id*c.meta.pageSize:])
	size := (1 + uint64(binary.LittleEndian.Uint32(p.raw[12:]))) * c.meta.pageSize
	if binary.LittleEndian.Uint64(p.raw) != id || size > (c.meta.end-id)*c.meta.pageSize {
		return page{}, fmt.Errorf("%w: invalid header of page %d", errDamaged, id)
	}
	p.raw = p.raw[:size]
	return p, nil
}

// readPage reads the header of the page that raw begins with.
func readPage(raw []byte) page {
	return page{flags: binary.LittleEndian.Uint16(raw[8:]), count: int(binary.LittleEndian.Uint16(raw[10:])), raw: raw}
}

// checkFreelist checks that the list of free pages is within its page and names pages of the file.
func (c *pageChecker) checkFreelist() error {
	if c.meta.freelist == noFreelist {
		return nil
	}
	p, err := c.page(c.meta.freelist)
	if err != nil {
		return err
	}
	entries, count := p.raw[pageHeaderSize:], uint64(p.count)
	if count == manyFreePages {
		count, entries = binary.LittleEndian.Uint64(entries), entries[8:]
	}
	if p.flags != flagFreelist || count > uint64(len(entries)/8) {
		return fmt.Errorf("%w: invalid list of free pages", errDamaged)
	}
	for i := range count {
		if id := binary.LittleEndian.Uint64(entries[8*i:]); id < 2 || id >= c.meta.end {
			return fmt.Errorf("%w: invalid free page %d", errDamaged, id)
		}
	}
	return nil
}

// checkTree checks the pages of a bucket. Only the root bucket contains buckets.
func (c *pageChecker) checkTree(id uint64, root bool) error {
	p, err := c.page(id)
	if err != nil {
		return err
	}
	if p.flags == flagLeaf {
		return c.checkLeaf(p, root)
	}
	if p.flags != flagBranch || p.count == 0 {
		return fmt.Errorf("%w: invalid type of page %d", errDamaged, id)
	}
	for i := range p.count {
		element, err := p.element(i)
		if err != nil {
			return err
		}
		if _, err := slice(element, binary.LittleEndian.Uint32(element), binary.LittleEndian.Uint32(element[4:])); err != nil {
			return err
		}
		if err := c.checkTree(binary.LittleEndian.Uint64(element[8:]), root); err != nil {
			return err
		}
	}
	return nil
}

// checkLeaf checks the keys and values of a leaf, and the buckets in it.
func (c *pageChecker) checkLeaf(p page, root bool) error {
	for i := range p.count {
		element, err := p.element(i)
		if err != nil {
			return err
		}
		flags, position := binary.LittleEndian.Uint32(element), binary.LittleEndian.Uint32(element[4:])
		keySize, valueSize := binary.LittleEndian.Uint32(element[8:]), binary.LittleEndian.Uint32(element[12:])
		entry, err := slice(element, position, keySize, valueSize)
		if err != nil {
			return err
		}
		if isBucket := flags == flagBucket; isBucket != root || flags > flagBucket {
			return fmt.Errorf("%w: invalid type of an entry", errDamaged)
		}
		if root {
			err = c.checkBucket(string(entry[:keySize]), entry[keySize:])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkBucket checks a bucket, whose pages follow its header if they are not in pages of their own.
// A bucket whose name is damaged would be taken for a missing one, and its keys would be lost.
func (c *pageChecker) checkBucket(name string, value []byte) error {
	if name != string(bucketMeta) && name != string(bucketKeys) {
		return fmt.Errorf("%w: unknown bucket", errDamaged)
	}
	if len(value) < bucketHeaderSize {
		return fmt.Errorf("%w: bucket without a header", errDamaged)
	}
	if id := binary.LittleEndian.Uint64(value); id != 0 {
		return c.checkTree(id, false)
	}
	inline := value[bucketHeaderSize:]
	if len(inline) < pageHeaderSize {
		return fmt.Errorf("%w: bucket without a page", errDamaged)
	}
	p := readPage(inline)
	if p.flags != flagLeaf {
		return fmt.Errorf("%w: invalid type of a bucket's page", errDamaged)
	}
	return c.checkLeaf(p, false)
}

// element returns the page from an element on.
func (p page) element(index int) ([]byte, error) {
	start := pageHeaderSize + index*elementSize
	if start+elementSize > len(p.raw) {
		return nil, fmt.Errorf("%w: too many elements", errDamaged)
	}
	return p.raw[start:], nil
}

// slice returns the bytes of the given sizes at a position after the begin of an element.
func slice(element []byte, position uint32, sizes ...uint32) ([]byte, error) {
	size := uint64(0)
	for _, s := range sizes {
		size += uint64(s)
	}
	if uint64(position)+size > uint64(len(element)) {
		return nil, fmt.Errorf("%w: an entry continues beyond its page", errDamaged)
	}
	return element[position:][:size], nil
}
