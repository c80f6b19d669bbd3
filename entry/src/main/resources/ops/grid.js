// Model of the table editor: pure functions that return a new state. A state consists of the
// version and cells of the table that is being edited (base), the edited rows, each with the index
// of its base row (baseIndex, -1 for a new row), and the rows before each change (undoStack).

const MAX_UNDO_STEPS = 200;

export function create(version, columns, cells) {
  return createWithRows(
    version, columns, cells, cells.map((row, i) => ({ baseIndex: i, cells: row })));
}

export function createWithRows(version, columns, base, rows) {
  return { version, columns, base, rows, undoStack: [] };
}

export function cellsOf(state) {
  return state.rows.map((row) => row.cells);
}

// Sets one cell. Successive changes while typing in the same cell form a single undo step.
export function setCell(state, row, column, text, continuesTyping) {
  const rows = replaceCell(state.rows, row, column, text);
  return continuesTyping ? { ...state, rows } : withUndo(state, rows);
}

// Pastes a block with its top left corner at a cell and appends rows as needed.
export function pasteBlock(state, row, column, block) {
  const width = Math.max(0, ...block.map((line) => line.length));
  if (column + width > state.columns.length) {
    throw new RangeError(
      `The block has ${width} columns, but only ${state.columns.length - column} follow here.`);
  }
  let rows = state.rows;
  block.forEach((line, i) => {
    if (row + i >= rows.length) {
      rows = [...rows, emptyRow(state)];
    }
    line.forEach((text, j) => {
      rows = replaceCell(rows, row + i, column + j, text);
    });
  });
  return withUndo(state, rows);
}

export function insertRow(state, index) {
  return withUndo(
    state, [...state.rows.slice(0, index), emptyRow(state), ...state.rows.slice(index)]);
}

export function removeRow(state, index) {
  return withUndo(state, state.rows.filter((row, i) => i !== index));
}

export function undo(state) {
  return state.undoStack.length === 0
    ? state
    : {
      ...state,
      rows: state.undoStack[state.undoStack.length - 1],
      undoStack: state.undoStack.slice(0, -1),
    };
}

export function isChanged(state, row, column) {
  const { baseIndex, cells: rowCells } = state.rows[row];
  return baseIndex < 0 || state.base[baseIndex][column] !== rowCells[column];
}

export function hasChanges(state) {
  return state.rows.length !== state.base.length
    || state.rows.some((row, i) => row.baseIndex !== i
      || row.cells.some((text, column) => isChanged(state, i, column)));
}

export function toCsv(state) {
  return [state.columns, ...cellsOf(state)]
    .map((row) => `${row.map(quoteCsv).join(",")}\n`)
    .join("");
}

// Returns the cell to which a key moves the focus, or null if the input field handles the key.
export function focusTarget(key, shift, row, column, caret, length) {
  switch (key) {
    case "ArrowUp": return [row - 1, column];
    case "ArrowDown": return [row + 1, column];
    case "Enter": return [shift ? row - 1 : row + 1, column];
    case "ArrowLeft": return caret === 0 ? [row, column - 1] : null;
    case "ArrowRight": return caret === length ? [row, column + 1] : null;
    default: return null;
  }
}

// Creates a state from a merged table and the chosen side ("YOURS" or "STORED") of each difference.
export function applyChoices(merged, columns, choices) {
  const { cells: mergedCells, origins, differences } = merged.merge;
  const rows = mergedCells.map((row, i) => ({ baseIndex: origins[i], cells: [...row] }));
  const removedRows = new Set();
  differences.forEach((difference, i) => {
    const text = choices[i] === "STORED" ? difference.stored : difference.yours;
    const row = difference.row - 1;
    if (difference.column !== "") {
      rows[row].cells[columns.indexOf(difference.column)] = text;
    } else if (text === "") {
      removedRows.add(row);
    }
  });
  return createWithRows(
    merged.version, columns, merged.base, rows.filter((row, i) => !removedRows.has(i)));
}

function withUndo(state, rows) {
  return { ...state, rows, undoStack: [...state.undoStack, state.rows].slice(-MAX_UNDO_STEPS) };
}

function emptyRow(state) {
  return { baseIndex: -1, cells: state.columns.map(() => "") };
}

function replaceCell(rows, row, column, text) {
  return rows.map((previous, i) => (i === row
    ? { ...previous, cells: previous.cells.map((cell, j) => (j === column ? text : cell)) }
    : previous));
}

function quoteCsv(text) {
  return /[",\r\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}
