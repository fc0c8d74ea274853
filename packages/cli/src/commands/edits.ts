import {FescuewickError, ResultCode} from '@fescuewick/core';
import {
	addDrain, DrainKind, removeDrain, removeShiftCap, setShiftCap, setWorkspaceRate, type ShiftCapSettings,
} from '@fescuewick/config';
import {
	backendListPrefix, vmListPrefix, type BackendRecord, type VmRecord,
} from '@fescuewick/wire';
import {type CommandContext, type CommandResult} from '../context.js';
import {editAndReport, type WaitOptions} from './edit-configuration.js';

/** Drains a failure domain, VM or backend server; throws `objectUnknown` for a name that is not on the platform's list unless `force` is set. */
export async function drain(context: CommandContext, kindText: string, name: string, options: WaitOptions & {readonly force?: boolean}): Promise<CommandResult> {
	const kind = parseKind(kindText);
	if (!options.force) {
		await requireKnownName(context, kind, name);
	}

	return editAndReport(context, `drain ${kind} ${name}`, current => addDrain(current, {kind, name}), options);
}

/** Ends a drain. */
export async function undrain(context: CommandContext, kindText: string, name: string, options: WaitOptions): Promise<CommandResult> {
	const kind = parseKind(kindText);
	return editAndReport(context, `undrain ${kind} ${name}`, current => removeDrain(current, {kind, name}), options);
}

/** Sets the shift cap of a service. */
export async function cap(context: CommandContext, settings: ShiftCapSettings, options: WaitOptions): Promise<CommandResult> {
	const {service, maxPercent, maxPercentPerMinute} = settings;
	return editAndReport(context, `cap ${service} at ${maxPercent} %, ${maxPercentPerMinute} % per minute`, current => setShiftCap(current, settings), options);
}

/** Removes the shift cap of a service. */
export async function uncap(context: CommandContext, service: string, options: WaitOptions): Promise<CommandResult> {
	return editAndReport(context, `remove cap of ${service}`, current => removeShiftCap(current, service), options);
}

/** Sets rate and burst of a workspace. */
export async function rate(context: CommandContext, workspace: string, settings: {ratePerS: number; burst?: number}, options: WaitOptions): Promise<CommandResult> {
	return editAndReport(context, `set ${workspace} to ${settings.ratePerS} requests per second`, current => setWorkspaceRate(current, workspace, settings), options);
}

function parseKind(text: string): DrainKind {
	const kind = Object.values(DrainKind).find(value => String(value) === text);
	if (kind === undefined) {
		throw new FescuewickError(ResultCode.usage, `kind must be one of ${Object.values(DrainKind).join(', ')}, not ${text}`);
	}

	return kind;
}

/** Throws `objectUnknown` for a name that is not on the platform's list, because a drain of a misspelt name would be accepted without effect. An empty list allows every name. */
async function requireKnownName({store}: CommandContext, kind: DrainKind, name: string): Promise<void> {
	const objects = await store.list(kind === DrainKind.server ? backendListPrefix : vmListPrefix);
	const records = objects.flatMap(({value}) => Array.isArray(value) ? value as Array<BackendRecord | VmRecord> : []);
	if (records.length === 0) {
		return;
	}

	const names = kind === DrainKind.server
		? (records as BackendRecord[]).map(record => record.server)
		: (records as VmRecord[]).map(record => (kind === DrainKind.vm ? record.vm : record.failureDomain));
	if (!names.includes(name)) {
		throw new FescuewickError(ResultCode.objectUnknown, `${kind} ${name} is not on the platform's list; use --force if the list is out of date`);
	}
}
