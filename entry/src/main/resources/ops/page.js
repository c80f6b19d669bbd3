import * as grid from "./grid.js";

const TABLE_PATH = "/ops/v1/table";
// Longer than the 5 s that an entry needs to determine the result of a save whose store response
// was lost.
const CALL_TIMEOUT_MS = 15000;
const READ_BACK_ATTEMPTS = 10;
const READ_BACK_INTERVAL_MS = 500;

const byId = (id) => document.getElementById(id);
let state = null;
let problems = [];
let merged = null;
let choices = [];
let focusedCell = [0, 0];
// The cell that is being typed in; all typing in one cell forms a single undo step.
let typedCell = "";
// The lowest version that a read back must return; -1 if no save has an unknown outcome.
let minReadBackVersion = -1;
let token = "";

class UnauthorizedError extends Error {}

async function callApi(method, path, body, headers = {}) {
  const allHeaders = { ...headers };
  if (token !== "") {
    allHeaders.Authorization = `Bearer ${token}`;
  }
  const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
  const response = await fetch(
    path, { method, body, headers: allHeaders, signal, cache: "no-store" });
  if (response.status === 401) {
    byId("access").hidden = false;
    throw new UnauthorizedError("This entry requires the operators' token.");
  }
  return { status: response.status, text: await response.text() };
}

async function callForJson(method, path, body) {
  const response = await callApi(method, path, body);
  if (response.status !== 200) {
    throw new Error(`status ${response.status}: ${response.text}`);
  }
  return JSON.parse(response.text);
}

function showMessage(text, kind = "") {
  byId("message").textContent = text;
  byId("message").className = kind;
}

async function load() {
  try {
    const table = await callForJson("GET", `${TABLE_PATH}/cells`);
    state = grid.create(table.version, table.columns, table.cells);
    problems = [];
    showMessage(table.version === 0 ? "No table is in force yet." : "Ready.");
  } catch (error) {
    showMessage(`The table could not be read. ${error.message}`, "wrong");
  }
  render();
}

async function save() {
  const submitted = state;
  byId("editor").disabled = true;
  showMessage("Saving.");
  let response;
  try {
    const headers = { "If-Match": `"${submitted.version}"`, "Content-Type": "text/csv" };
    response = await callApi("PUT", TABLE_PATH, grid.toCsv(submitted), headers);
  } catch (error) {
    if (error instanceof UnauthorizedError) {
      showMessage(`Nothing was saved. ${error.message}`, "wrong");
      render();
    } else {
      await startReadBack(0, error.message);
    }
    return;
  }
  await handleSaveResponse(submitted, response);
}

async function handleSaveResponse(submitted, response) {
  let result = {};
  try {
    result = JSON.parse(response.text);
  } catch {
    // Some error responses are plain text, which is shown below.
  }
  if (response.status === 200 && result.status === "ACCEPTED") {
    showSavedTable(
      result.version, grid.cellsOf(submitted), `Accepted as version ${result.version}.`);
  } else if (response.status === 412) {
    await startReadBack(result.version ?? 0, "Another operator saved first.");
  } else if (response.status === 422 && Array.isArray(result.problems)) {
    problems = result.problems;
    showMessage(`Nothing was saved: ${problems.length} problem(s).`, "wrong");
    render();
  } else if ([400, 404, 413, 428, 503].includes(response.status)) {
    const reason = result.status === "UNAVAILABLE" ? "the store does not answer" : response.text;
    showMessage(`Nothing was saved: ${reason}`, "wrong");
    render();
  } else {
    await startReadBack(0, `status ${response.status}`);
  }
}

function showSavedTable(version, cells, text) {
  state = grid.create(version, state.columns, cells);
  problems = [];
  minReadBackVersion = -1;
  showMessage(text, "accepted");
  render();
}

// Disables saving until the current table has been read back.
async function startReadBack(version, reason) {
  minReadBackVersion = version;
  showMessage(`${reason} Reading the table in force.`, "wrong");
  render();
  await readBack(reason);
}

async function readBack(reason) {
  byId("read-back").disabled = true;
  try {
    let response = null;
    for (let i = 0; i < READ_BACK_ATTEMPTS; i++) {
      const edit = JSON.stringify({ base: state.base, yours: grid.cellsOf(state) });
      response = await callForJson("POST", `${TABLE_PATH}/merge`, edit);
      if (response.version >= minReadBackVersion) {
        break;
      }
      await new Promise((resolve) => setTimeout(resolve, READ_BACK_INTERVAL_MS));
    }
    if (response.version < minReadBackVersion) {
      throw new Error(`Version ${minReadBackVersion} has not reached this entry.`);
    }
    handleReadBack(response, reason);
  } catch (error) {
    showMessage(`It is not known whether the table was saved. ${reason} Your edits are kept; read `
      + `back before you save again. ${error.message}`, "wrong");
    render();
  }
  byId("read-back").disabled = false;
}

function handleReadBack(response, reason) {
  minReadBackVersion = -1;
  if (response.merge.outcome === "SAME") {
    showSavedTable(response.version, response.base,
      `Your table is in force as version ${response.version}.`);
  } else if (response.merge.outcome === "UNCHANGED") {
    state = { ...state, version: response.version };
    showMessage(`${reason} Your table is not in force: version ${response.version} is unchanged. `
      + "You can save again.", "wrong");
    render();
  } else {
    merged = response;
    choices = response.merge.differences.map((difference) => difference.side);
    showMessage(`${reason} Version ${response.version} differs from your table.`, "wrong");
    render();
  }
}

function applyChoices() {
  state = grid.applyChoices(merged, state.columns, choices);
  merged = null;
  problems = [];
  showMessage(grid.hasChanges(state)
    ? "Choices applied; the marked cells are not saved yet."
    : "Choices applied; the table equals the stored one.");
  render();
}

function newElement(name, text, className = "") {
  const created = document.createElement(name);
  created.textContent = text;
  created.className = className;
  return created;
}

function render() {
  typedCell = "";
  const editing = state !== null && merged === null && minReadBackVersion < 0;
  byId("editor").disabled = !editing;
  byId("conflict").hidden = merged === null;
  byId("read-back").hidden = minReadBackVersion < 0;
  byId("problems").replaceChildren(...problems.map(newProblemItem));
  if (merged !== null) {
    renderConflict();
  }
  if (state === null) {
    return;
  }
  byId("version").textContent = state.version === 0 ? "No version" : `Version ${state.version}`;
  byId("columns").replaceChildren(...["", ...state.columns].map((c) => newElement("th", c)));
  byId("rows").replaceChildren(...state.rows.map((row, i) => {
    const tableRow = document.createElement("tr");
    tableRow.append(
      newElement("th", String(i + 1)), ...row.cells.map((text, j) => newCell(i, j, text)));
    return tableRow;
  }));
  updateButtons();
}

function newCell(row, column, text) {
  const input = document.createElement("input");
  input.value = text;
  input.dataset.row = row;
  input.dataset.column = column;
  input.spellcheck = false;
  input.setAttribute("aria-label", `${state.columns[column]}, row ${row + 1}`);
  const tableCell = document.createElement("td");
  tableCell.append(input);
  markCell(tableCell, row, column);
  return tableCell;
}

function markCell(tableCell, row, column) {
  const cellProblems = problems.filter(
    (p) => p.row === row + 1 && p.column === state.columns[column]);
  tableCell.classList.toggle("changed", grid.isChanged(state, row, column));
  tableCell.classList.toggle("wrong", cellProblems.length > 0);
  tableCell.title = cellProblems.map((p) => p.reason).join("\n");
  tableCell.firstChild.setAttribute("aria-invalid", String(cellProblems.length > 0));
}

function newProblemItem(problem) {
  const place = [problem.row > 0 ? `row ${problem.row}` : "table", problem.column]
    .filter((part) => part !== "").join(", ");
  const item = newElement("li", "");
  if (problem.row > 0) {
    const button = newElement("button", place);
    button.type = "button";
    button.addEventListener("click", () => {
      focusCell(problem.row - 1, Math.max(0, state.columns.indexOf(problem.column)));
    });
    item.append(button, ` ${problem.reason}`);
  } else {
    item.append(`${place}: ${problem.reason}`);
  }
  return item;
}

function renderConflict() {
  const lines = merged.merge.differences.map((difference, i) => {
    const tableRow = newElement("tr", "", choices[i] === "OPEN" ? "open" : "");
    const row = merged.merge.cells[difference.row - 1];
    tableRow.append(newElement("td", row.slice(0, 4).join(", ")),
      newElement("td", difference.column === "" ? "(row)" : difference.column),
      newOption(difference, i, "YOURS", difference.yours),
      newOption(difference, i, "STORED", difference.stored));
    return tableRow;
  });
  byId("differences").replaceChildren(...lines);
  byId("apply").disabled = choices.includes("OPEN");
}

function newOption(difference, index, side, text) {
  const input = document.createElement("input");
  input.type = "radio";
  input.name = `difference-${index}`;
  input.checked = choices[index] === side;
  input.addEventListener("change", () => {
    choices[index] = side;
    input.closest("tr").classList.remove("open");
    byId("apply").disabled = choices.includes("OPEN");
  });
  const missing = difference.column === "" ? "(no such row)" : "(empty)";
  const label = document.createElement("label");
  label.append(input, ` ${text === "" ? missing : text}`);
  const tableCell = document.createElement("td");
  tableCell.append(label);
  return tableCell;
}

function chooseAll(side) {
  choices = choices.map(() => side);
  renderConflict();
}

function updateButtons() {
  byId("save").disabled = !grid.hasChanges(state);
  byId("undo").disabled = state.undoStack.length === 0;
  byId("discard").disabled = !grid.hasChanges(state);
  byId("remove").disabled = state.rows.length === 0;
}

function findInput(row, column) {
  return document.querySelector(`#rows input[data-row="${row}"][data-column="${column}"]`);
}

function focusCell(row, column) {
  const input = findInput(row, column);
  if (input !== null) {
    input.focus();
    input.select();
  }
}

// Adding, removing or restoring a row shifts other rows, so problems with row numbers are cleared.
function applyChange(nextState) {
  if (nextState.rows.length !== state.rows.length) {
    problems = [];
  }
  state = nextState;
  render();
  focusCell(Math.min(focusedCell[0], state.rows.length - 1), focusedCell[1]);
}

async function paste(row, column, text) {
  showMessage("Reading the pasted block.");
  byId("editor").disabled = true;
  try {
    const response = await callApi("POST", `${TABLE_PATH}/paste`, text);
    if (response.status !== 200) {
      throw new Error(response.status === 422
        ? `The block is ${JSON.parse(response.text).reason}`
        : `status ${response.status}: ${response.text}`);
    }
    const nextState = grid.pasteBlock(state, row, column, JSON.parse(response.text).cells);
    showMessage("Pasted.");
    applyChange(nextState);
  } catch (error) {
    showMessage(`Nothing was pasted. ${error.message}`, "wrong");
    render();
    focusCell(row, column);
  }
}

function onInput(event) {
  const row = Number(event.target.dataset.row);
  const column = Number(event.target.dataset.column);
  const typing = typedCell === `${row},${column}`;
  state = grid.setCell(state, row, column, event.target.value, typing);
  typedCell = `${row},${column}`;
  problems = problems.filter((p) => p.row !== row + 1 || p.column !== state.columns[column]);
  byId("problems").replaceChildren(...problems.map(newProblemItem));
  markCell(event.target.parentNode, row, column);
  updateButtons();
}

function onKeyDown(event) {
  if ((event.ctrlKey || event.metaKey) && event.key.toLowerCase() === "z") {
    event.preventDefault();
    applyChange(grid.undo(state));
    return;
  }
  const input = event.target;
  const plain = !event.ctrlKey && !event.altKey && !event.metaKey;
  if (!plain || input.dataset.row === undefined || input.selectionStart === null) {
    return;
  }
  const caret = event.key === "ArrowRight" ? input.selectionEnd : input.selectionStart;
  const target = grid.focusTarget(event.key, event.shiftKey, Number(input.dataset.row),
    Number(input.dataset.column), caret, input.value.length);
  if (target !== null) {
    event.preventDefault();
    focusCell(target[0], target[1]);
  }
}

function onPaste(event) {
  const text = event.clipboardData.getData("text/plain");
  // A single value is left to the input field, which inserts it at the caret.
  if (/[\t\r\n,]/.test(text)) {
    event.preventDefault();
    paste(Number(event.target.dataset.row), Number(event.target.dataset.column), text);
  }
}

byId("rows").addEventListener("input", onInput);
byId("rows").addEventListener("paste", onPaste);
byId("rows").addEventListener("focusin", (event) => {
  focusedCell = [Number(event.target.dataset.row), Number(event.target.dataset.column)];
  typedCell = "";
});
byId("editor").addEventListener("keydown", onKeyDown);
byId("save").addEventListener("click", save);
byId("undo").addEventListener("click", () => applyChange(grid.undo(state)));
byId("add").addEventListener("click", () => {
  const newRow = Math.min(state.rows.length, focusedCell[0] + 1);
  focusedCell = [newRow, 0];
  applyChange(grid.insertRow(state, newRow));
});
byId("remove").addEventListener("click", () => applyChange(grid.removeRow(state, focusedCell[0])));
byId("discard").addEventListener("click", () => {
  if (window.confirm("Discard all changes and read the table in force?")) {
    load();
  }
});
byId("read-back").addEventListener("click", () => readBack(""));
byId("apply").addEventListener("click", applyChoices);
byId("back").addEventListener("click", () => {
  merged = null;
  showMessage("Back to your edited table, which is not saved.");
  render();
});
byId("all-yours").addEventListener("click", () => chooseAll("YOURS"));
byId("all-stored").addEventListener("click", () => chooseAll("STORED"));
byId("access").addEventListener("submit", (event) => {
  event.preventDefault();
  token = byId("token").value;
  byId("access").hidden = true;
  if (state === null) {
    load();
  } else if (minReadBackVersion >= 0) {
    readBack("");
  } else {
    showMessage("Token set; your changes are kept.");
  }
});
window.addEventListener("beforeunload", (event) => {
  if (state !== null && grid.hasChanges(state)) {
    event.preventDefault();
  }
});
load();
