import test from 'ava';
import {
	CellState, evaluateMatrix, parseMatrix, renderMatrix,
} from './matrix.js';

const text = `
faults:
  - {id: store-down, text: The store is down.}
  - {id: process-dies, text: A process dies.}
steps:
  - {id: look-up, text: Look-up.}
  - {id: send, text: Send.}
cells:
  - {faults: [store-down], steps: [look-up], tests: [serves without store], holds: [I12]}
  - {faults: [process-dies], steps: [look-up], cannotOccur: Nothing runs.}
`;

// Guards against a matrix that shows a cell as proved although its test failed, was skipped or does not exist.
test('cells with missing or red tests are problems', t => {
	const definition = parseMatrix(text, 'cells.yaml');
	t.deepEqual(evaluateMatrix(definition, [{title: 'serves without store', state: 'passed'}]).problems, []);
	t.is(evaluateMatrix(definition, []).problems[0], 'test "serves without store" does not exist');
	const red = evaluateMatrix(definition, [{title: 'serves without store', state: 'skipped'}]);
	t.is(red.problems.length, 1);
	t.is(red.cells[0].state, CellState.red);
});

// Guards against empty cells that are shown as proved or are not counted.
test('empty cells stay empty in the page', t => {
	const definition = parseMatrix(text, 'cells.yaml');
	const page = renderMatrix(definition, evaluateMatrix(definition, [{title: 'serves without store', state: 'passed'}]));
	t.true(page.includes('| store-down | ● |   |'));
	t.true(page.includes('1 cells proved, 0 red, 1 cannot occur, 2 empty of 4.'));
});

// Guards against misspelt fault and step names that would be ignored.
test('unknown faults and steps are problems', t => {
	const definition = parseMatrix(text.replace('steps: [send', 'steps: [sent').replace('[process-dies], steps: [look-up]', '[process-died], steps: [sent]'), 'cells.yaml');
	t.deepEqual(evaluateMatrix(definition, [{title: 'serves without store', state: 'passed'}]).problems, ['fault "process-died" is not listed', 'step "sent" is not listed']);
});

// Guards against a run with untested steps, and against failed tests that are accepted although they are not listed as known to fail.
test('a run adds a cell for each step, and only listed tests may fail', t => {
	const definition = parseMatrix(`${text}runs:
  - {file: runs, faults: [process-dies], rows: {process-dies: [store-down]}}
runSteps: {send: [I8]}
`, 'cells.yaml');
	const passed = {title: 'serves without store', state: 'passed'} as const;
	const title = 'runs › faults: process-dies: send';
	t.deepEqual(evaluateMatrix(definition, [passed]).problems, [`test "${title}" does not exist`]);
	const failed = [passed, {title, state: 'failed'} as const];
	t.deepEqual(evaluateMatrix(definition, failed).problems, [`test "${title}" is failed`]);
	const known = evaluateMatrix(definition, failed, new Set([title]));
	t.deepEqual([known.problems, known.knownRed], [[], [title]]);
	t.deepEqual(known.cells.filter(({state}) => state === CellState.red).map(({fault, step}) => `${fault}/${step}`), ['store-down/send', 'process-dies/send']);
});
