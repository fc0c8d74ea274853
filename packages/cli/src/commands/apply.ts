import {FescuewickError, ResultCode} from '@fescuewick/core';
import {
	applyConfiguration, baseRevisionOf, canonicalDocument, ChangeKind, diffDocuments, formatChange, hasCode, readConfigurationFile, createConflictReport,
	type ConfigurationDocument, type LoadedConfiguration, type ObjectChange,
} from '@fescuewick/config';
import {successResult, type CommandContext, type CommandResult} from '../context.js';
import {
	describeDifference, loadCurrent, reportChange, removeUnreferencedParts, type WaitOptions,
} from './edit-configuration.js';
import {refuseWithdrawnKeys, revokeRemovedKeys} from './key-revocation.js';

/** Options of `apply`; `base` is the revision that the file was made from, or `current`. */
export type ApplyOptions = WaitOptions & {readonly file: string; readonly dryRun?: boolean; readonly base?: string};

/** Applies a configuration file. */
export async function applyFile(context: CommandContext, options: ApplyOptions): Promise<CommandResult> {
	const {text, document} = readConfigurationFile(options.file);
	const newDocument = canonicalDocument(document);
	const current = await loadCurrent(context);
	const changes = diffDocuments(current?.document, newDocument);
	if (changes.length === 0) {
		return reportChange(context, current?.head.revision ?? 0, [], options);
	}

	const base = options.base ?? baseRevisionOf(text)?.toString();
	const refusal = current === undefined ? undefined : checkBaseRevision(current, base, changes);
	if (refusal !== undefined) {
		return refusal;
	}

	await refuseWithdrawnKeys(context, current?.document, newDocument);
	if (options.dryRun) {
		const lines = [...changes.map(change => formatChange(change)), 'dry run: nothing was written'];
		return successResult({dryRun: true, baseRevision: current?.head.revision ?? 0, changes}, lines.join('\n'));
	}

	return applyChanges(context, current, newDocument, options);
}

async function applyChanges(context: CommandContext, current: LoadedConfiguration | undefined, newDocument: ConfigurationDocument, options: ApplyOptions): Promise<CommandResult> {
	const {store, author, timers} = context;
	const summary = describeDifference(current?.document, newDocument);
	try {
		const {recentChanges, revision: latest} = await applyConfiguration(store, current, newDocument, {author, summary, timers});
		const revision = (current?.head.revision ?? 0) + 1;
		const changes = diffDocuments(current?.document, newDocument);
		await revokeRemovedKeys(context, current?.document, newDocument);
		await removeUnreferencedParts(context, revision);
		if (latest > revision) {
			context.output.err(`note: revision ${latest} by ${recentChanges[0].author} was accepted after revision ${revision}`);
		}

		return await reportChange(context, revision, changes, options);
	} catch (error) {
		if (!hasCode(error, ResultCode.configurationConflict)) {
			throw error;
		}

		return reportConflict(context, current, newDocument, error as FescuewickError);
	}
}

/** Returns a conflict if the file was made from another revision than the one in force, or if it names no base revision and would remove objects. */
function checkBaseRevision(current: LoadedConfiguration, base: string | undefined, changes: readonly ObjectChange[]): CommandResult | undefined {
	const {revision, recentChanges} = current.head;
	if (base === 'current' || base === String(revision)) {
		return undefined;
	}

	if (base !== undefined && !/^\d+$/.test(base)) {
		throw new FescuewickError(ResultCode.usage, `--base must be a revision or "current", not ${base}`);
	}

	const removed = changes.filter(({kind}) => kind === ChangeKind.removed);
	if (base === undefined && removed.length === 0) {
		return undefined;
	}

	const changesSince = base === undefined ? [] : recentChanges.filter(change => change.revision > Number(base));
	const message = base === undefined
		? `the file does not name its base revision and would remove ${formatNames(removed)}; edit the output of "show" instead, or use --base current to remove them`
		: `the file was made from revision ${base}, but revision ${revision} is in force; nothing was written`;
	const lines = [
		...changesSince.map(({revision: number, author, summary}) => `revision ${number} by ${author}: ${summary}`),
		...(base === undefined ? [] : ['applying the file now would make these changes:']),
		...changes.map(change => formatChange(change)),
	];
	return {
		code: ResultCode.configurationConflict, json: {
			baseRevision: base, revision, changesSince, changes,
		}, text: lines.join('\n'), message,
	};
}

function formatNames(objects: ReadonlyArray<{readonly list: string; readonly name: string}>): string {
	return objects.map(({list, name}) => `${list}/${name}`).join(', ');
}

async function reportConflict(context: CommandContext, base: LoadedConfiguration | undefined, newDocument: ConfigurationDocument, error: FescuewickError): Promise<CommandResult> {
	const latestConfiguration = await loadCurrent(context);
	if (latestConfiguration === undefined) {
		throw error;
	}

	const conflict = createConflictReport(base?.document, newDocument, latestConfiguration.document);
	const advice = conflict.sameObjects.length === 0
		? 'the changes touch different objects; make your change again in the current output of "show"'
		: `both changes touch: ${formatNames(conflict.sameObjects)}`;
	const text = [`changes accepted in the meantime, up to revision ${latestConfiguration.head.revision}:`, ...conflict.theirs.map(change => formatChange(change)), advice].join('\n');
	return {
		code: ResultCode.configurationConflict, json: {revision: latestConfiguration.head.revision, ...conflict}, text, message: error.message,
	};
}
