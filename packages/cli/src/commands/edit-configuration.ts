import {ResultCode, toFescuewickError} from '@fescuewick/core';
import {
	collectGarbage, diffDocuments, editConfiguration, formatChange, garbageGroupOf, loadConfiguration, summarizeChanges,
	type ConfigurationDocument, type ConfigurationEdit, type EditResult, type LoadedConfiguration, type ObjectChange,
} from '@fescuewick/config';
import {successResult, type CommandContext, type CommandResult} from '../context.js';
import {defaultWaitLimitMs, waitForRevision, withConfirmation} from '../fleet/confirmation.js';

/** Options of all commands that change the configuration: whether to wait for confirmations, and for how long. */
export type WaitOptions = {readonly wait?: boolean; readonly waitLimitMs?: number};

/** Reads the configuration in force. */
export async function loadCurrent({store}: CommandContext): Promise<LoadedConfiguration | undefined> {
	return loadConfiguration(store);
}

/** Applies an edit and retries it when another operator's change was accepted first; `summary` goes into the change record. */
export async function applyEdit(context: CommandContext, summary: string, edit: ConfigurationEdit): Promise<EditResult> {
	const {store, author, timers} = context;
	const result = await editConfiguration(store, edit, {author, summary, timers});
	if (result.changed) {
		await removeUnreferencedParts(context, result.head.revision);
	}

	return result;
}

/** Applies an edit, reports what it changed and, if requested, waits for the VMs to confirm it. */
export async function editAndReport(context: CommandContext, summary: string, edit: ConfigurationEdit, options: WaitOptions): Promise<CommandResult> {
	const result = await applyEdit(context, summary, edit);
	return reportChange(context, result.head.revision, diffDocuments(result.before, result.after), options);
}

/** Reports an accepted change and, if requested, waits for the VMs to confirm it. */
export async function reportChange(context: CommandContext, revision: number, changes: readonly ObjectChange[], {wait = false, waitLimitMs = defaultWaitLimitMs}: WaitOptions): Promise<CommandResult> {
	const text = changes.length === 0
		? `no change; revision ${revision} is in force`
		: [...changes.map(change => formatChange(change)), `accepted as revision ${revision}`].join('\n');
	const result = successResult({revision, changes}, text);
	if (!wait) {
		return result;
	}

	try {
		return withConfirmation(result, await waitForRevision(context, revision, waitLimitMs));
	} catch (error) {
		// The change has been accepted, so a failure to query the VMs only leaves it unconfirmed.
		return {...result, code: ResultCode.notConfirmed, message: `accepted as revision ${revision}, but no VM could be queried: ${toFescuewickError(error).message}`};
	}
}

/** Summarizes the difference between two documents for the change record. */
export function describeDifference(before: ConfigurationDocument | undefined, after: ConfigurationDocument): string {
	return before === undefined ? 'first configuration' : summarizeChanges(diffDocuments(before, after));
}

/** Removes unreferenced configuration parts after a change, in the garbage group that the revision selects. A failure does not affect the change and is only printed as a note. */
export async function removeUnreferencedParts({store, timers, output}: CommandContext, revision: number): Promise<void> {
	try {
		await collectGarbage(store, {group: garbageGroupOf(revision), nowMs: timers.wallClockMs()});
	} catch (error) {
		output.err(`note: unreferenced configuration parts were not removed: ${toFescuewickError(error).message}`);
	}
}
