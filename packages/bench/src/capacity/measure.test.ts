import test from 'ava';
import {fitSlope, measureMemory, type Section} from './measure.js';
import {renderSections} from './report.js';
import {sumAtDesignSize} from './design-size-sums.js';

// Guards against a slope that includes the fixed cost in the cost per unit.
test('a fitted slope separates the cost of a unit from the base', t => {
	const {perUnit, base} = fitSlope('cost', 'B', [[10, 120], [20, 140], [40, 180]]);
	t.is(Math.round(perUnit * 1e6), 2e6);
	t.is(Math.round(base * 1e6), 100e6);
	t.is(fitSlope('cost', 'B', [[5, 7], [5, 9]]).base, 8);
});

// Guards against a memory measurement that includes uncollected garbage or omits array buffers.
test('memory of a value counts its array buffers and not its garbage', t => {
	const {value, sizeBytes} = measureMemory(() => {
		const garbage = Array.from({length: 100_000}, (_, index) => String(index));
		return new Uint8Array(4_000_000 + (garbage.length % 2));
	});
	t.true(sizeBytes > 3_500_000 && sizeBytes < 4_500_000, `${sizeBytes} bytes for ${value.length}`);
});

// Guards against sums that silently omit an item whose slope was not measured.
test('the sum at the design size fails if a slope is missing, and sections are rendered as tables', t => {
	const section: Section = {role: 'Role', tables: [{title: 'Table', columns: ['a', 'b'], rows: [[1, 'x']]}], slopes: [fitSlope('cost', 'B', [[1, 1], [2, 2]])]};
	t.throws(() => sumAtDesignSize([section]), {message: /no slope/});
	const text = renderSections([section]);
	t.regex(text, /## Role\n\nTable:\n\n\| a \| b \|\n\| --- \| --- \|\n\| 1 \| x \|/);
	t.regex(text, /\| cost \| 1 \| 0 \| B \|/);
});
