/** Default table width, in columns. */
export const tableWidth = 80;

const minLastColumnWidth = 16;
const columnGap = '  ';

/** Renders rows under headers. The last column is wrapped to fit the width, but not below a minimum width, so lines are longer than `width` if the other columns are too wide. */
export function renderTable(headers: readonly string[], rows: ReadonlyArray<readonly string[]>, width = tableWidth): string {
	const lastColumn = headers.length - 1;
	const widths = headers.map((header, column) => Math.max(header.length, ...rows.map(row => row[column].length)));
	const fixedWidth = widths.slice(0, lastColumn).reduce((sum, columnWidth) => sum + columnWidth + columnGap.length, 0);
	const lastWidth = Math.max(minLastColumnWidth, width - fixedWidth);
	return [headers, ...rows].flatMap(row => wrapText(row[lastColumn], lastWidth).map((line, index) => {
		const cells = row.slice(0, lastColumn).map((cell, column) => (index === 0 ? cell : '').padEnd(widths[column]));
		return [...cells, line].join(columnGap).trimEnd();
	})).join('\n');
}

/** Wraps text at spaces into lines of at most `width` columns; a longer word is not broken. */
export function wrapText(text: string, width: number): string[] {
	const lines = [''];
	for (const word of text.split(' ')) {
		const current = lines.at(-1) ?? '';
		if (current === '') {
			lines[lines.length - 1] = word;
		} else if (current.length + 1 + word.length <= width) {
			lines[lines.length - 1] = `${current} ${word}`;
		} else {
			lines.push(word);
		}
	}

	return lines;
}

/** Formats a duration, for example `120 ms`, `4.2 s` or `12 min`; an undefined one as `-`. */
export function formatDuration(durationMs: number | undefined): string {
	if (durationMs === undefined) {
		return '-';
	}

	if (durationMs < 1000) {
		return `${Math.round(durationMs)} ms`;
	}

	return durationMs < 120_000 ? `${(durationMs / 1000).toFixed(1)} s` : `${Math.round(durationMs / 60_000)} min`;
}
