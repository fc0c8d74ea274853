import {FescuewickError, ResultCode} from '@fescuewick/core';
import {
	applyConfiguration, baseRevisionOf, canonicalDocument, ChangeKind, diffDocuments, formatChange, hasCode, readConfigurationFile, createConflictReport,
	type ConfigurationDocument, type LoadedConfiguration, type ObjectChange,
} from '@fescuewick/config';
import {succeed, type CommandContext, type CommandResult} from '../context.js';
import {
	describeDifference, load, reportChange, tidy, type WaitOptions,
} from './change.js';
import {refuseWithdrawnKeys, revokeRemovedKeys} from './file-keys.js';

/** Options of `apply`; `base` is a revision or `current`. */
export type ApplyOptions = WaitOptions & {readonly file: string; readonly dryRun?: boolean; readonly base?: string};

/** Makes a file the configuration in force. */
export async function applyFile(context: CommandContext, options: ApplyOptions): Promise<CommandResult> {
	const {text, document} = readConfigurationFile(options.file);
	const wanted = canonicalDocument(document);
	const current = await load(context);
	const changes = diffDocuments(current?.document, wanted);
	if (changes.length === 0) {
		return reportChange(context, current?.head.revision ?? 0, [], options);
	}

	const base = options.base ?? baseRevisionOf(text)?.toString();
	const refusal = current === undefined ? undefined : refuseStale(current, base, changes);
	if (refusal !== undefined) {
		return refusal;
	}

	await refuseWithdrawnKeys(context, current?.document, wanted);
	if (options.dryRun) {
		const lines = [...changes.map(change => formatChange(change)), 'dry run: nothing was written'];
		return succeed({dryRun: true, baseRevision: current?.head.revision ?? 0, changes}, lines.join('\n'));
	}

	return applyChanges(context, current, wanted, options);
}

async function applyChanges(context: CommandContext, current: LoadedConfiguration | undefined, wanted: ConfigurationDocument, options: ApplyOptions): Promise<CommandResult> {
	const {store, author, timers} = context;
	const summary = describeDifference(current?.document, wanted);
	try {
		const {recentChanges, revision: latest} = await applyConfiguration(store, current, wanted, {author, summary, timers});
		const revision = (current?.head.revision ?? 0) + 1;
		const changes = diffDocuments(current?.document, wanted);
		await revokeRemovedKeys(context, current?.document, wanted);
		await tidy(context, revision);
		if (latest > revision) {
			context.output.err(`note: revision ${latest} by ${recentChanges[0].author} was accepted since`);
		}

		return await reportChange(context, revision, changes, options);
	} catch (error) {
		if (!hasCode(error, ResultCode.configurationConflict)) {
			throw error;
		}

		return reportConflict(context, current, wanted, error as FescuewickError);
	}
}

/** Refuses a file that was made from another revision, or that says nothing about it and would remove objects. */
function refuseStale(current: LoadedConfiguration, base: string | undefined, changes: readonly ObjectChange[]): CommandResult | undefined {
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

	const missed = base === undefined ? [] : recentChanges.filter(change => change.revision > Number(base));
	const message = base === undefined
		? `the file does not say which revision it was made from and would remove ${nameList(removed)}; start from "show", or give --base current to remove them`
		: `the file was made from revision ${base}, but revision ${revision} is in force; nothing was written`;
	const lines = [
		...missed.map(({revision: number, author, summary}) => `revision ${number} by ${author}: ${summary}`),
		...(base === undefined ? [] : ['applying the file now would make these changes:']),
		...changes.map(change => formatChange(change)),
	];
	return {
		code: ResultCode.configurationConflict, json: {
			baseRevision: base, revision, changesSince: missed, changes,
		}, text: lines.join('\n'), message,
	};
}

function nameList(objects: ReadonlyArray<{readonly list: string; readonly name: string}>): string {
	return objects.map(({list, name}) => `${list}/${name}`).join(', ');
}

async function reportConflict(context: CommandContext, base: LoadedConfiguration | undefined, mine: ConfigurationDocument, error: FescuewickError): Promise<CommandResult> {
	const theirs = await load(context);
	if (theirs === undefined) {
		throw error;
	}

	const race = createConflictReport(base?.document, mine, theirs.document);
	const overlap = race.sameObjects.length === 0
		? 'your change touches other objects; get the configuration with "show" and make it again'
		: `both changes touch: ${nameList(race.sameObjects)}`;
	const text = [`accepted meanwhile, up to revision ${theirs.head.revision}:`, ...race.theirs.map(change => formatChange(change)), overlap].join('\n');
	return {
		code: ResultCode.configurationConflict, json: {revision: theirs.head.revision, ...race}, text, message: error.message,
	};
}
