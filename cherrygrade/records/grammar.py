"""Parser of the records language, a subset of CUE: turns a text into a tree of expressions.

As in CUE, a line end counts as a comma where an expression is complete. The subset has fields, optional
fields, pattern fields with an alias, definitions, nested labels, closed and open structs, lists, references,
`&`, `|` with `*default`, bounds, `=~`, sums and products, and comments.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

GRAMMAR = r"""
start: [_decls]
_decls: decl (_COMMA decl)* _COMMA?
?decl: field | embedded | open_struct
embedded: expr
open_struct: _DOTS
field: label QUERY? ":" (nested_field | expr)
nested_field: field
label: IDENT -> plain | KEYWORD -> plain | DEF -> plain | STRING -> quoted
     | "[" [IDENT "="] expr "]" -> pattern
?expr: alternative ("|" alternative)* -> disjunction
alternative: STAR? operand
?operand: sum ("&" sum)* -> conjunction
?sum: product (SIGN product)* -> calculation
?product: unary (FACTOR unary | STAR unary)* -> calculation
?unary: COMPARE unary -> bound | SIGN unary -> signed | primary
?primary: IDENT ("." (IDENT | DEF))* -> reference | DEF ("." IDENT)* -> reference
     | NUMBER -> number | STRING -> string | KEYWORD -> keyword
     | "{" [_decls] "}" -> struct | "[" "]" -> list_literal | "[" expr "]" -> list_literal
     | "[" element _COMMA [_elements] "]" -> list_literal | "[" ellipsis "]" -> list_literal
     | "(" expr ")" -> paren
_elements: element (_COMMA element)* _COMMA?
?element: expr | ellipsis
ellipsis: _DOTS expr?
KEYWORD.3: /(true|false|null|string|int|number|bool|_)(?![A-Za-z0-9_])/
DEF: /#[A-Za-z_][A-Za-z0-9_]*/
IDENT: /[A-Za-z_][A-Za-z0-9_]*/
NUMBER: /[0-9][0-9_]*(\.[0-9]+)?([eE][-+]?[0-9]+)?/
STRING: /"([^"\\\n]|\\.)*"/
COMPARE: ">=" | "<=" | "!=" | "=~" | ">" | "<"
STAR: "*"
SIGN: "+" | "-"
FACTOR: "/"
QUERY: "?"
_COMMA: ","
_DOTS: "..."
NEWLINE: /\n/
COMMENT: /\/\/[^\n]*/
%ignore COMMENT
%ignore /[ \t\r]+/
"""


@dataclass(frozen=True, slots=True)
class Position:
    """A place in a text.

    Attributes:
        file: Path or name of the text.
        line: Line number, from 1.
        column: Column number, from 1.
    """

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True, eq=False)
class Tree:
    """One expression of a text.

    Attributes:
        kind: "literal", "type", or the name that `GRAMMAR` gives the expression, such as "struct",
            "disjunction" or "reference".
        position: Where the expression starts.
        parts: The operands, fields or values of the expression. Each part of a disjunction is a pair: whether
            it is marked as a default by `*`, and its tree.
    """

    kind: str
    position: Position
    parts: tuple[Any, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Field:
    """One field of a struct.

    Attributes:
        kind: "field", "optional" or "pattern".
        label: The name of the field as text; for a pattern the expression that names have to match.
        alias: The name by which the value of a pattern refers to the matched name; "" for none.
        value: The expression after the colon.
        position: Where the field starts.
    """

    kind: str
    label: Any
    alias: str
    value: Tree
    position: Position


class RecordSyntaxError(Exception):
    """The text cannot be parsed; the message starts with the file, and with line and column where known."""


class _CommaInserter:
    """Inserts a comma token at each line end that follows a complete expression."""

    always_accept = ("NEWLINE",)
    ending_terminals = frozenset(
        {"IDENT", "DEF", "STRING", "NUMBER", "KEYWORD", "RBRACE", "RSQB", "RPAR", "_DOTS"}
    )

    def process(self, stream: Iterator[Token]) -> Iterator[Token]:
        previous_type = ""
        for token in stream:
            if token.type != "NEWLINE":
                previous_type = token.type
                yield token
            elif previous_type in self.ending_terminals:
                previous_type = "_COMMA"
                yield Token.new_borrow_pos("_COMMA", ",", token)


def _only_part(parts: list[Any]) -> Tree | None:
    return parts[0] if len(parts) == 1 else None


@v_args(meta=True)
class _TreeBuilder(Transformer[Token, Any]):
    """Turns lark's parse tree into a `Tree`; each method builds the rule of `GRAMMAR` of the same name."""

    def __init__(self, file: str) -> None:
        super().__init__()
        self.file = file

    def position(self, meta: Any) -> Position:
        return Position(self.file, getattr(meta, "line", 1), getattr(meta, "column", 1))

    def start(self, meta: Any, parts: list[Any]) -> Tree:
        return self.struct(meta, parts)

    def struct(self, meta: Any, parts: list[Any]) -> Tree:
        return Tree("struct", self.position(meta), tuple(part for part in parts if part is not None))

    def embedded(self, meta: Any, parts: list[Any]) -> Any:
        return parts[0]

    def open_struct(self, meta: Any, parts: list[Any]) -> str:
        return "..."

    def plain(self, meta: Any, parts: list[Any]) -> tuple[str, Any, str]:
        return "field", str(parts[0]), ""

    def quoted(self, meta: Any, parts: list[Any]) -> tuple[str, Any, str]:
        return "field", json.loads(parts[0]), ""

    def pattern(self, meta: Any, parts: list[Any]) -> tuple[str, Any, str]:
        return "pattern", parts[-1], str(parts[0]) if len(parts) > 1 and parts[0] is not None else ""

    def nested_field(self, meta: Any, parts: list[Any]) -> Tree:
        return Tree("struct", parts[0].position, (parts[0],))

    def field(self, meta: Any, parts: list[Any]) -> Field:
        kind, label, alias = parts[0]
        if any(isinstance(part, Token) for part in parts[1:-1]):
            kind = "optional"
        return Field(kind, label, alias, parts[-1], self.position(meta))

    def alternative(self, meta: Any, parts: list[Any]) -> tuple[bool, Tree]:
        return len(parts) > 1, parts[-1]

    def disjunction(self, meta: Any, parts: list[Any]) -> Tree:
        if len(parts) == 1 and not parts[0][0]:
            tree: Tree = parts[0][1]
            return tree
        return Tree("disjunction", self.position(meta), tuple(parts))

    def conjunction(self, meta: Any, parts: list[Any]) -> Tree:
        return _only_part(parts) or Tree("conjunction", self.position(meta), tuple(parts))

    def calculation(self, meta: Any, parts: list[Any]) -> Tree:
        return _only_part(parts) or Tree("calculation", self.position(meta), tuple(parts))

    def bound(self, meta: Any, parts: list[Any]) -> Tree:
        return Tree("bound", self.position(meta), (str(parts[0]), parts[1]))

    def signed(self, meta: Any, parts: list[Any]) -> Tree:
        zero = Tree("literal", self.position(meta), (0,))
        return Tree("calculation", self.position(meta), (zero, parts[0], parts[1]))

    def reference(self, meta: Any, parts: list[Any]) -> Tree:
        return Tree("reference", self.position(meta), tuple(str(part) for part in parts))

    def number(self, meta: Any, parts: list[Any]) -> Tree:
        text = parts[0].replace("_", "")
        value: int | float = int(text) if text.isdigit() else float(text)
        return Tree("literal", self.position(meta), (value,))

    def string(self, meta: Any, parts: list[Any]) -> Tree:
        return Tree("literal", self.position(meta), (json.loads(parts[0]),))

    def keyword(self, meta: Any, parts: list[Any]) -> Tree:
        text = str(parts[0])
        if text in ("true", "false", "null"):
            return Tree("literal", self.position(meta), ({"true": True, "false": False, "null": None}[text],))
        return Tree("type", self.position(meta), (text,))

    def ellipsis(self, meta: Any, parts: list[Any]) -> Tree:
        inner = parts[0] if parts and parts[0] is not None else Tree("type", self.position(meta), ("_",))
        return Tree("ellipsis", self.position(meta), (inner,))

    def list_literal(self, meta: Any, parts: list[Any]) -> Tree:
        return Tree("list_literal", self.position(meta), tuple(part for part in parts if part is not None))

    def paren(self, meta: Any, parts: list[Any]) -> Any:
        return parts[0]


_parser = Lark(
    GRAMMAR, parser="lalr", postlex=_CommaInserter(), propagate_positions=True, maybe_placeholders=False
)


def parse(text: str, file: str) -> Tree:
    """Parse a text into the tree of its outermost struct.

    Args:
        text: Text in the records language.
        file: Path or name of the text, for positions and error messages.

    Raises:
        RecordSyntaxError: If the text is not in the records language.
    """
    try:
        built: Tree = _TreeBuilder(file).transform(_parser.parse(text + "\n"))
        return built
    except (UnexpectedCharacters, UnexpectedToken) as error:
        line, column = error.line, error.column
        if isinstance(error, UnexpectedToken) and error.token.type == "$END":
            raise RecordSyntaxError(f"{file}: the text ends within a record") from error
        source_line = text.splitlines()[line - 1].strip() if 0 < line <= len(text.splitlines()) else ""
        raise RecordSyntaxError(f"{file}:{line}:{column}: syntax error: {source_line}") from error
    except UnexpectedInput as error:
        raise RecordSyntaxError(f"{file}: {error}") from error
