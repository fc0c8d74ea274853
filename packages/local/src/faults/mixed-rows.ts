import {mixedFaults} from './mixed-faults.js';
import {runMixed, type MixedRun} from './mixed-run.js';
import {stepChecks, type StepCheck} from './step-checks.js';

const maxReportedProblems = 10;

/** A cell of the fault matrix: the title of its test and a function that returns the problems found. */
export type Cell = {readonly title: string; readonly problems: () => Promise<string[]>};

/** Yields the cells of the faults' rows; the first cell of a row that is evaluated starts the run that all cells of the row share. */
export function * cellsOf(faults: readonly string[]): Iterable<Cell> {
	for (const fault of faults) {
		const run = once(async () => runMixed(mixedFaults[fault]));
		for (const [step, check] of Object.entries<StepCheck>(stepChecks)) {
			yield {
				title: `faults: ${fault}: ${step}`,
				async problems() {
					return [...check(await run())].slice(0, maxReportedProblems);
				},
			};
		}
	}
}

function once(start: () => Promise<MixedRun>): () => Promise<MixedRun> {
	let running: Promise<MixedRun> | undefined;
	return async () => {
		running ??= start();
		return running;
	};
}
