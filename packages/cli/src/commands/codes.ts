import {ResultCode, resultCodeName, resultCodeTable} from '@fescuewick/core';
import {successResult, type CommandResult} from '../context.js';
import {exitCodeOf} from '../exit-codes.js';
import {renderTable} from '../output/table.js';

/** A row of the table of result codes. */
export type CodeRow = {readonly code: ResultCode; readonly name: string; readonly httpStatus: number; readonly outcome: string; readonly exitCode: number; readonly text: string};

/** All result codes with their exit codes, in numeric order. */
export function codeRows(): CodeRow[] {
	return Object.values(ResultCode).filter(value => typeof value === 'number').sort((a, b) => a - b).map(code => ({
		code, name: resultCodeName(code), ...resultCodeTable[code], exitCode: exitCodeOf(code),
	}));
}

/** Shows the table of result codes. */
export function codes(): CommandResult {
	const rows = codeRows();
	return successResult(rows, renderTable(['CODE', 'NAME', 'HTTP', 'OUTCOME', 'EXIT', 'MEANING'], rows.map(row => [
		String(row.code), row.name, String(row.httpStatus), row.outcome, String(row.exitCode), row.text,
	])));
}
