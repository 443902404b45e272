package drive

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"

	"currantport.example/stand/internal/store"
)

const (
	generatedFiles = 5
	generatedBytes = 64 << 20
	generatedSeed  = 1
)

// makeTrees returns the path of the source tree of each version by name. The second and the
// third version are the first one with a file added.
func makeTrees(dir, weights string) (map[string]string, error) {
	if weights == "" {
		weights = filepath.Join(dir, "weights")
		if err := generateTree(weights); err != nil {
			return nil, err
		}
	}
	trees := map[string]string{"one": weights}
	for i, name := range []string{"two", "three"} {
		path := filepath.Join(dir, "weights-"+name)
		if err := extendTree(weights, path, i+1); err != nil {
			return nil, err
		}
		trees[name] = path
	}
	return trees, nil
}

// generateTree writes files of random bytes, and one empty and one tiny file.
func generateTree(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	source := rand.NewChaCha8([32]byte{generatedSeed})
	for i := range generatedFiles {
		f, err := os.Create(filepath.Join(dir, "part-"+strconv.Itoa(i)))
		if err != nil {
			return err
		}
		if _, err := io.CopyN(f, source, generatedBytes/generatedFiles+int64(i)); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "empty"), nil, 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "tiny"), []byte{1}, 0o600)
}

// extendTree copies a tree and adds one file.
func extendTree(from, to string, number int) error {
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	tree, err := store.Open(from)
	if err != nil {
		return err
	}
	err = fs.WalkDir(tree, ".", func(p string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if e.IsDir() {
			return os.MkdirAll(filepath.Join(to, p), 0o755)
		}
		if !e.Type().IsRegular() {
			return nil
		}
		return copyFile(tree, p, filepath.Join(to, p))
	})
	if err != nil {
		return err
	}
	added := make([]byte, number*generatedBytes/16)
	_, _ = rand.NewChaCha8([32]byte{byte(number + generatedSeed)}).Read(added)
	return os.WriteFile(filepath.Join(to, "added-"+strconv.Itoa(number)), added, 0o600)
}

func copyFile(tree fs.FS, from, to string) error {
	r, err := tree.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	w, err := os.Create(to)
	if err != nil {
		return err
	}
	if _, err := io.Copy(w, r); err != nil {
		_ = w.Close()
		return err
	}
	return w.Close()
}

func treeBytes(path string) (int64, error) {
	tree, err := store.Open(path)
	if err != nil {
		return 0, err
	}
	var sum int64
	err = fs.WalkDir(tree, ".", func(_ string, e fs.DirEntry, err error) error {
		if err != nil || !e.Type().IsRegular() {
			return err
		}
		info, err := e.Info()
		if err == nil {
			sum += info.Size()
		}
		return err
	})
	return sum, err
}
