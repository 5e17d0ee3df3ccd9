package decide

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// allowedImports are the packages that decision packages may import besides each other.
var allowedImports = []string{"bytes", "cmp", "container/heap", "container/list", "crypto", "crypto/ecdsa", "crypto/ed25519",
	"crypto/elliptic", "crypto/hmac", "crypto/md5", "crypto/rsa", "crypto/sha1", "crypto/sha256", "crypto/x509",
	"encoding/base64", "encoding/binary", "encoding/hex", "encoding/json", "encoding/pem", "errors", "fmt", "hash",
	"io", "maps", "math", "math/bits", "net/netip", "net/url", "regexp", "slices", "sort", "strconv", "strings",
	"github.com/cespare/xxhash/v2", "github.com/fxamacker/cbor/v2", "github.com/DataDog/sketches-go/ddsketch", "github.com/DataDog/sketches-go/ddsketch/mapping", "github.com/DataDog/sketches-go/ddsketch/store",
	"iter", "github.com/go-jose/go-jose/v4",
	"cherryramp/internal/httpwire"} // only its parsers

// Guards against decision packages that do I/O, read a clock, or use goroutines,
// channels or locks.
func TestDecisionsArePure(t *testing.T) {
	allowed := map[string]bool{}
	for _, p := range allowedImports {
		allowed[p] = true
	}
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			name, _ := strconv.Unquote(i.Path.Value)
			if !allowed[name] && !strings.HasPrefix(name, "cherryramp/internal/decide/") {
				t.Errorf("%s imports %s", path, name)
			}
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch n.(type) {
			case *ast.GoStmt, *ast.ChanType, *ast.SelectStmt:
				t.Errorf("%s uses a goroutine, a channel or select", path)
			}
			return true
		})
		return nil
	})
	if err != nil || files < 5 {
		t.Fatal(files, err)
	}
}
