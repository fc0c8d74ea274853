import {
	FescuewickError, ResultCode, toFescuewickError,
} from '@fescuewick/core';
import {
	generateKey, hasCode, issueKey, withdrawKey, type LoadedConfiguration,
} from '@fescuewick/config';
import {successResult, type CommandContext, type CommandResult} from '../context.js';
import {
	defaultWaitLimitMs, sendRevocations, waitForRevocation, withConfirmation, type Confirmation,
} from '../fleet/confirmation.js';
import {
	findVms, requireTargets, type VmTarget, type VmDiscovery,
} from '../fleet/vms.js';
import {renderTable} from '../output/table.js';
import {
	applyEdit, loadCurrent, reportChange, type WaitOptions,
} from './edit-configuration.js';

/** Issues a key; the result contains its text, which is not stored anywhere. */
export async function issue(context: CommandContext, workspace: string, options: WaitOptions & {readonly id?: string}): Promise<CommandResult> {
	const {key, sha256} = generateKey(context.randomBytes);
	const suffix = [...context.randomBytes(4)].map(byte => byte.toString(16).padStart(2, '0')).join('');
	const id = options.id ?? `${workspace.slice(0, 55)}-${suffix}`;
	const record = {id, workspace, sha256};
	let revision: number;
	try {
		const result = await applyEdit(context, `issue key ${id} for ${workspace}`, current => issueKey(current, record));
		({revision} = result.head);
	} catch (error) {
		if (hasCode(error, ResultCode.storeOutcomeUnknown)) {
			const text = `key ${id} may have been issued; its text was discarded. Check with "key list", withdraw ${id} if it is listed, and issue another`;
			throw new FescuewickError(ResultCode.storeOutcomeUnknown, text, {cause: error});
		}

		throw error;
	}

	const changeResult = await reportChange(context, revision, [], options);
	const {confirmation} = (changeResult.json as {confirmation?: Confirmation});
	return {
		...changeResult,
		json: {
			id, workspace, key, revision, ...(confirmation === undefined ? {} : {confirmation}),
		},
		text: [
			`id         ${id}`,
			`workspace  ${workspace}`,
			`key        ${key}`,
			`revision   ${revision}`,
			'The key is not shown again.',
			...changeResult.text.split('\n').slice(1),
		].join('\n'),
	};
}

/** Lists the keys with their IDs and hashes; the system does not store their texts. */
export async function listKeys(context: CommandContext): Promise<CommandResult> {
	const current = await loadCurrent(context);
	const keys = current?.document.keys ?? [];
	return successResult({revision: current?.head.revision ?? 0, keys}, renderTable(['ID', 'WORKSPACE', 'SHA-256'], keys.map(({id, workspace, sha256}) => [
		id, workspace, `${sha256.slice(0, 12)}...`,
	])));
}

/** Withdraws a key: removes it from the configuration and sends its revocation to all VMs. If the store cannot be used, only sends the revocation. */
export async function withdraw(context: CommandContext, id: string, options: WaitOptions): Promise<CommandResult> {
	// Runs in parallel with reading the configuration: while the store does not respond, each call takes its full timeout.
	const discovery = findVms(context);
	let current: LoadedConfiguration | undefined;
	try {
		current = await loadCurrent(context);
	} catch (error) {
		return withdrawWithoutStore(context, id, {error: toFescuewickError(error), targets: await requireTargets(discovery)}, options);
	}

	const key = current?.document.keys.find(entry => entry.id === id);
	if (key === undefined) {
		throw new FescuewickError(ResultCode.objectUnknown, `key ${id} does not exist; it may have been withdrawn already`);
	}

	// The revocation is sent in parallel with the removal, so that a slow store does not delay it.
	const [removal, posted] = await Promise.all([removeKey(context, id), postRevocation(context, discovery, key.sha256)]);
	if (removal.error !== undefined) {
		return reportNonDurable(context, {
			id, sha256: key.sha256, error: removal.error, posted,
		}, options);
	}

	const text = [`key ${id} withdrawn, accepted as revision ${removal.revision}`, ...describeRecipients(posted)].join('\n');
	const result = successResult({id, revision: removal.revision, posted}, text);
	if (!options.wait) {
		return result;
	}

	try {
		return withConfirmation(result, await waitForRevocation(context, key.sha256, removal.revision, options.waitLimitMs ?? defaultWaitLimitMs));
	} catch (error) {
		return {...result, code: ResultCode.notConfirmed, message: `key ${id} withdrawn, but no VM could be queried: ${toFescuewickError(error).message}`};
	}
}

async function removeKey(context: CommandContext, id: string): Promise<{revision: number; error: FescuewickError | undefined}> {
	try {
		const {head} = await applyEdit(context, `withdraw key ${id}`, current => withdrawKey(current, id));
		return {revision: head.revision, error: undefined};
	} catch (error) {
		if (hasCode(error, ResultCode.objectUnknown)) {
			// Another operator has withdrawn the key since the configuration was read.
			const current = await loadCurrent(context);
			return {revision: current?.head.revision ?? 0, error: undefined};
		}

		return {revision: 0, error: toFescuewickError(error)};
	}
}

async function postRevocation(context: CommandContext, discovery: Promise<VmDiscovery>, sha256: string): Promise<Confirmation> {
	const {targets} = await discovery;
	return sendRevocations(context, targets, [sha256]);
}

/** Why the store cannot be used, and the VMs found without it. */
type StoreOutage = {readonly error: FescuewickError; readonly targets: readonly VmTarget[]};

async function withdrawWithoutStore(context: CommandContext, id: string, {error, targets}: StoreOutage, options: WaitOptions): Promise<CommandResult> {
	const sha256 = await findKeyHash(context, targets, id);
	if (sha256 === undefined) {
		throw new FescuewickError(ResultCode.endpointUnreachable, `the store cannot be used (${error.message}) and no reachable VM has key ${id}; nothing was changed`);
	}

	return reportNonDurable(context, {
		id, sha256, error, posted: await sendRevocations(context, targets, [sha256]),
	}, options);
}

async function findKeyHash({fetch}: CommandContext, targets: readonly VmTarget[], id: string): Promise<string | undefined> {
	for (const {adminUrl} of targets) {
		try {
			const {status, body} = await fetch({method: 'GET', url: `${adminUrl}/v1/keys/${encodeURIComponent(id)}`});
			const {sha256} = (body ?? {}) as {sha256?: unknown};
			if (status === 200 && typeof sha256 === 'string' && /^[\da-f]{64}$/.test(sha256)) {
				return sha256;
			}
		} catch {
			// Try the next VM.
		}
	}

	return undefined;
}

/** A revocation that was sent to VMs but that the store has not confirmed. */
type NonDurableRevocation = {readonly id: string; readonly sha256: string; readonly error: FescuewickError; readonly posted: Confirmation};

async function reportNonDurable(context: CommandContext, {id, sha256, error, posted}: NonDurableRevocation, {wait, waitLimitMs = defaultWaitLimitMs}: WaitOptions): Promise<CommandResult> {
	const confirmation = wait && posted.confirmed.length > 0 ? await waitForRevocation(context, sha256, undefined, waitLimitMs) : posted;
	const text = [
		error.code === ResultCode.storeOutcomeUnknown
			? `The revocation of key ${id} may not be durable: the store did not say whether it accepted it.`
			: `The revocation of key ${id} is not durable yet: the store did not accept it.`,
		'The VMs exchange it with each other and write it when the store is available again; repeat this command then.',
		`known to: ${confirmation.confirmed.length === 0 ? 'no VM' : confirmation.confirmed.join(', ')}`,
		...confirmation.missing.map(({vm, reason}) => `not known to: ${vm} (${reason})`),
	].join('\n');
	return {
		code: error.code, json: {id, durable: false, confirmation}, text, message: `revocation of key ${id} is not known to be durable: ${error.message}`,
	};
}

function describeRecipients({confirmed, missing}: Confirmation): string[] {
	return [
		`revocation accepted directly by ${confirmed.length} VMs`,
		...missing.map(({vm, reason}) => `  ${vm}: ${reason}; it receives the revocation from its peers or with the new revision`),
	];
}
