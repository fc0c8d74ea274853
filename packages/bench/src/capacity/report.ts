import {
	roundTo4Digits, type Section, type Slope, type Table,
} from './measure.js';

/** Renders sections as Markdown tables. */
export function renderSections(sections: readonly Section[]): string {
	return sections.map(({role, tables, slopes}) => [
		`## ${role}`,
		...tables.map(table => renderTable(table)),
		...(slopes.length === 0 ? [] : [renderTable(slopeTable(slopes))]),
	].join('\n\n')).join('\n\n') + '\n';
}

function slopeTable(slopes: readonly Slope[]): Table {
	return {
		title: 'Fitted slopes',
		columns: ['figure', 'per unit', 'base', 'unit'],
		rows: slopes.map(({name, perUnit, base, unit}) => [name, roundTo4Digits(perUnit), roundTo4Digits(base), unit]),
	};
}

function renderTable({title, columns, rows}: Table): string {
	const line = (cells: ReadonlyArray<string | number>) => `| ${cells.map(cell => (typeof cell === 'number' ? roundTo4Digits(cell) : cell)).join(' | ')} |`;
	return [`${title}:`, '', line(columns), line(columns.map(() => '---')), ...rows.map(row => line(row))].join('\n');
}
