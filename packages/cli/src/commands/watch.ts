import {toFescuewickError} from '@fescuewick/core';
import {checkHead, headKey, type ChangeRecord} from '@fescuewick/config';
import {successResult, type CommandContext, type CommandResult} from '../context.js';

const watchTimeoutMs = 25_000;
const retryDelayMs = 2000;

/** Prints changes as they are accepted, until the signal is aborted or `count` changes have been printed. */
export async function watch(context: CommandContext, {count = Number.POSITIVE_INFINITY}: {count?: number}): Promise<CommandResult> {
	const {store, timers, output, signal} = context;
	let version = 0;
	let revision: number | undefined;
	let printedCount = 0;
	while (!signal.aborted && printedCount < count) {
		try {
			const object = await store.watch(headKey, version, watchTimeoutMs, signal);
			if (object === undefined) {
				continue;
			}

			const head = checkHead(object.value);
			version = object.version;
			// The first head read is the baseline: only changes accepted after it are printed.
			const previousRevision = revision ?? head.revision;
			const newChanges = head.recentChanges.filter(change => change.revision > previousRevision).reverse();
			const skippedCount = head.revision - previousRevision - newChanges.length;
			if (skippedCount > 0) {
				output.err(`note: ${skippedCount} changes were skipped because they are no longer recorded`);
			}

			for (const change of newChanges.slice(0, count - printedCount)) {
				output.out(formatChangeRecord(change, context.jsonOutput));
				printedCount++;
			}

			revision = head.revision;
		} catch (error) {
			const {code, message} = toFescuewickError(error);
			output.err(`note: reading changes failed with ${code}: ${message}; retrying in ${retryDelayMs} ms`);
			await timers.sleep(retryDelayMs);
		}
	}

	return successResult(undefined, '');
}

function formatChangeRecord(change: ChangeRecord, json: boolean): string {
	return json ? JSON.stringify(change) : `revision ${change.revision} by ${change.author}: ${change.summary}`;
}
