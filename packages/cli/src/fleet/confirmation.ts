import {ResultCode} from '@fescuewick/core';
import {type CommandContext, type CommandResult} from '../context.js';
import {
	fetchStatus, findVms, mapConcurrently, requireTargets, targetName, type VmReport, type VmTarget,
} from './vms.js';

/** Default time a command waits for confirmations, in milliseconds. This is well above the 10 s within which an accepted change should be in force on every VM. */
export const defaultWaitLimitMs = 30_000;
const pollIntervalMs = 500;

/** A VM that has not confirmed a change, and why. */
export type UnconfirmedVm = {readonly vm: string; readonly reason: string};

/** Which VMs have confirmed a change and which have not. */
export type Confirmation = {readonly confirmed: readonly string[]; readonly missing: readonly UnconfirmedVm[]};

/** Whether a VM has confirmed a change; if it has not, `report.reason` says why. */
type VmConfirmation = {readonly confirmed: boolean; readonly report: VmReport};

/** Waits until every VM reports the revision or a later one; after `limitMs` or on abort, resolves with the confirmations so far. */
export async function waitForRevision(context: CommandContext, revision: number, limitMs: number): Promise<Confirmation> {
	return waitForConfirmations(context, limitMs, async target => {
		const report = await fetchStatus(context, target);
		const reportedRevision = report.status?.revision ?? -1;
		const reason = report.status === undefined ? report.reason : `has revision ${reportedRevision}`;
		return {confirmed: reportedRevision >= revision, report: {...report, reason}};
	}, peerRevision => peerRevision >= revision);
}

/** Waits until every VM refuses a key, because it has the revocation or a revision without the key; after `limitMs` or on abort, resolves with the confirmations so far. */
export async function waitForRevocation(context: CommandContext, sha256: string, revision: number | undefined, limitMs: number): Promise<Confirmation> {
	return waitForConfirmations(context, limitMs, async target => {
		const [isRevoked, report] = await Promise.all([hasRevocation(context, target, sha256), fetchStatus(context, target)]);
		const hasRevision = revision !== undefined && (report.status?.revision ?? -1) >= revision;
		const reason = report.status === undefined ? report.reason : 'has not received the revocation yet';
		return {confirmed: isRevoked || hasRevision, report: {...report, reason}};
	}, peerRevision => revision !== undefined && peerRevision >= revision);
}

/** Sends revocations to the VMs; resolves with those that accepted them and those that did not. */
export async function sendRevocations(context: CommandContext, targets: readonly VmTarget[], keyHashes: readonly string[]): Promise<Confirmation> {
	const results = await mapConcurrently(targets, async target => {
		try {
			const {status} = await context.fetch({method: 'POST', url: `${target.adminUrl}/v1/revocations`, body: {keyHashes}});
			return status < 300 ? undefined : `answered with status ${status}`;
		} catch {
			return 'unreachable';
		}
	});
	const names = targets.map(target => targetName(target));
	return {
		confirmed: names.filter((_, index) => results[index] === undefined),
		missing: names.flatMap((vm, index) => results[index] === undefined ? [] : [{vm, reason: results[index]}]),
	};
}

/** Adds confirmations to a result; a code `ok` becomes `notConfirmed` if a VM has not confirmed. */
export function withConfirmation(result: CommandResult, confirmation: Confirmation): CommandResult {
	const {confirmed, missing} = confirmation;
	const lines = missing.map(({vm, reason}) => `  ${vm}: ${reason}`);
	const text = [result.text, `confirmed by ${confirmed.length} VMs`, ...(lines.length === 0 ? [] : ['not confirmed:', ...lines])].join('\n');
	return {
		...result,
		json: {...result.json as Record<string, unknown>, confirmation},
		text,
		...(missing.length === 0 || result.code !== ResultCode.ok
			? {}
			: {
				code: ResultCode.notConfirmed, message: `accepted, but not confirmed by ${missing.map(({vm}) => vm).join(', ')}`,
			}),
	};
}

/** Whether a VM has the revocation of the key with this hash; false if the VM does not answer. */
export async function hasRevocation({fetch}: CommandContext, target: VmTarget, sha256: string): Promise<boolean> {
	try {
		const {status, body} = await fetch({method: 'GET', url: `${target.adminUrl}/v1/revocations/${sha256}`});
		return status === 200 && (body as {known?: unknown} | undefined)?.known === true;
	} catch {
		return false;
	}
}

async function waitForConfirmations(
	context: CommandContext,
	limitMs: number,
	checkVm: (target: VmTarget) => Promise<VmConfirmation>,
	isConfirmedByPeers: (peerRevision: number) => boolean,
): Promise<Confirmation> {
	const targets = await requireTargets(findVms(context));
	const {timers, signal} = context;
	const deadlineMs = timers.nowMs() + limitMs;
	const vmConfirmations = new Map<VmTarget, VmConfirmation>();
	for (;;) {
		const unconfirmedTargets = targets.filter(target => vmConfirmations.get(target)?.confirmed !== true);
		const results = await mapConcurrently(unconfirmedTargets, checkVm);
		for (const [index, target] of unconfirmedTargets.entries()) {
			vmConfirmations.set(target, results[index]);
		}

		const confirmation = summarizeConfirmations([...vmConfirmations.values()], isConfirmedByPeers);
		if (confirmation.missing.length === 0 || signal.aborted || timers.nowMs() >= deadlineMs) {
			return confirmation;
		}

		await timers.sleep(Math.min(pollIntervalMs, Math.max(0, deadlineMs - timers.nowMs())));
	}
}

function summarizeConfirmations(vmConfirmations: readonly VmConfirmation[], isConfirmedByPeers: (peerRevision: number) => boolean): Confirmation {
	const confirmed: string[] = [];
	const missing: UnconfirmedVm[] = [];
	for (const {confirmed: isConfirmed, report} of vmConfirmations) {
		const vm = report.status?.vm ?? targetName(report.target);
		if (isConfirmed) {
			confirmed.push(vm);
		} else if (report.status !== undefined || report.target.record?.leaving !== true) {
			// A leaving VM that does not answer is assumed to have shut down. Any other VM that does not answer may only be unreachable
			// from this client and still serve requests, so it counts as missing even if its peers report it as dead.
			missing.push({vm, reason: report.reason});
		}
	}

	const knownVms = new Set([...confirmed, ...missing.map(({vm}) => vm), ...vmConfirmations.map(({report}) => targetName(report.target))]);
	for (const [vm, revision] of unlistedMembers(vmConfirmations, knownVms)) {
		if (isConfirmedByPeers(revision)) {
			confirmed.push(vm);
		} else {
			missing.push({vm, reason: `not on the platform's list; peers report revision ${revision}`});
		}
	}

	return {confirmed: [...new Set(confirmed)].sort(), missing};
}

/** VMs that are not on the list but that peers do not report as dead, with the highest revision reported for each. */
function unlistedMembers(vmConfirmations: readonly VmConfirmation[], knownVms: ReadonlySet<string>): Map<string, number> {
	const revisions = new Map<string, number>();
	for (const member of vmConfirmations.flatMap(({report}) => report.status?.members ?? [])) {
		if (!knownVms.has(member.vm) && member.state !== 'dead') {
			revisions.set(member.vm, Math.max(revisions.get(member.vm) ?? 0, member.revision ?? 0));
		}
	}

	return revisions;
}
