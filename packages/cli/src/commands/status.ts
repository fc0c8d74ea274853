import {ResultCode, toFescuewickError, type FescuewickError} from '@fescuewick/core';
import {DrainKind, type ConfigurationDocument} from '@fescuewick/config';
import {successResult, type CommandContext, type CommandResult} from '../context.js';
import {
	fetchStatus, findVms, mapConcurrently, targetName, type VmReport,
} from '../fleet/vms.js';
import {formatDuration, renderTable} from '../output/table.js';
import {loadCurrent} from './edit-configuration.js';

/** State of one VM in the output. */
type VmRow = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly region: string;
	readonly reachable: boolean;
	readonly revision: number | undefined;
	readonly freshnessAgeMs: number | undefined;
	readonly keysAgeMs: number | undefined;
	readonly storeReachable: boolean | undefined;
	readonly state: string;
};

type DrainPredicate = (kind: DrainKind, name: string) => boolean;

/** Shows the revision in force, a table of failure domains with their reachable VMs, revisions and granted shares, a table of VMs with their revision, data freshness and state, and the drains. */
export async function status(context: CommandContext): Promise<CommandResult> {
	const {targets, storeError} = await findVms(context);
	const [reports, storeState] = await Promise.all([
		mapConcurrently(targets, async target => fetchStatus(context, target)),
		readStore(context),
	]);
	const drains = storeState.document?.drains ?? [];
	const isDrained: DrainPredicate = (kind, name) => drains.some(drain => drain.kind === kind && drain.name === name);
	const vms = reports.map(report => createVmRow(report, isDrained)).sort((a, b) => (`${a.failureDomain} ${a.vm}` < `${b.failureDomain} ${b.vm}` ? -1 : 1));
	const domains = [...new Set(vms.map(vm => vm.failureDomain))].map(name => {
		const domainVms = vms.filter(vm => vm.failureDomain === name);
		return {
			failureDomain: name, vms: domainVms.length, reachable: domainVms.filter(vm => vm.reachable).length, revisions: formatRevisionRange(domainVms),
			drained: isDrained(DrainKind.failureDomain, name), sharesPerS: storeState.shares?.get(name),
		};
	});
	const storeFailure = storeError ?? storeState.error;
	const header = storeFailure === undefined
		? `revision ${storeState.revision} is in force`
		: `the store cannot be read (${storeFailure.code} ${ResultCode[storeFailure.code]}): revision in force, drains and shares are not known`;
	const text = [
		header,
		'',
		renderTable(['DOMAIN', 'VMS', 'REACHABLE', 'REVISIONS', 'SHARES/S', 'DRAINED'], domains.map(domain => [
			domain.failureDomain, String(domain.vms), String(domain.reachable), domain.revisions, domain.sharesPerS?.toFixed(0) ?? '-', domain.drained ? 'yes' : 'no',
		])),
		'',
		renderTable(['DOMAIN', 'VM', 'REVISION', 'FRESH', 'KEYS', 'STORE', 'STATE'], vms.map(vm => [
			vm.failureDomain,
			vm.vm,
			vm.revision?.toString() ?? '-',
			formatDuration(vm.freshnessAgeMs),
			formatDuration(vm.keysAgeMs),
			vm.storeReachable === undefined ? '-' : (vm.storeReachable ? 'yes' : 'no'),
			vm.state,
		])),
		...(drains.length === 0 ? [] : ['', renderTable(['DRAIN', 'NAME'], drains.map(drain => [drain.kind, drain.name]))]),
	].join('\n');
	const json = {
		revision: storeState.revision, storeReachable: storeFailure === undefined, domains, vms, drains,
	};
	if (vms.every(vm => !vm.reachable)) {
		return {
			code: ResultCode.endpointUnreachable, json, text, message: vms.length === 0 ? 'no VM is known' : 'no VM can be reached',
		};
	}

	return successResult(json, text);
}

function createVmRow({target, status: vmStatus, reason}: VmReport, isDrained: DrainPredicate): VmRow {
	const vm = vmStatus?.vm ?? targetName(target);
	const failureDomain = vmStatus?.failureDomain ?? target.record?.failureDomain ?? '-';
	const drained = vmStatus?.draining === true || isDrained(DrainKind.vm, vm) || isDrained(DrainKind.failureDomain, failureDomain);
	const labels = [...(drained ? ['draining'] : []), ...(target.record?.leaving ? ['leaving'] : [])];
	if (vmStatus === undefined) {
		const region = target.record?.region ?? '-';
		return {
			vm, failureDomain, region,
			reachable: false, revision: undefined, freshnessAgeMs: undefined, keysAgeMs: undefined, storeReachable: undefined, state: [reason, ...labels].join(', '),
		};
	}

	return {
		vm,
		failureDomain,
		region: vmStatus.region,
		reachable: true,
		revision: vmStatus.revision,
		freshnessAgeMs: vmStatus.freshnessAgeMs ?? undefined,
		keysAgeMs: vmStatus.keysAgeMs ?? undefined,
		storeReachable: vmStatus.storeReachable,
		state: [vmStatus.ready ? 'ready' : 'not ready', ...labels].join(', '),
	};
}

function formatRevisionRange(vms: readonly VmRow[]): string {
	const revisions = vms.flatMap(vm => vm.revision ?? []);
	if (revisions.length === 0) {
		return '-';
	}

	const [min, max] = [Math.min(...revisions), Math.max(...revisions)];
	return min === max ? String(min) : `${min} to ${max}`;
}

type StoreState = {
	readonly revision: number | undefined;
	readonly document: ConfigurationDocument | undefined;
	readonly shares: Map<string, number> | undefined;
	readonly error: FescuewickError | undefined;
};

async function readStore(context: CommandContext): Promise<StoreState> {
	try {
		const current = await loadCurrent(context);
		return {
			revision: current?.head.revision ?? 0, document: current?.document, shares: await readShares(context), error: undefined,
		};
	} catch (error) {
		return {
			revision: undefined, document: undefined, shares: undefined, error: toFescuewickError(error),
		};
	}
}

/** Requests per second granted to each failure domain, summed over all workspaces; undefined if nothing has been allocated yet. */
async function readShares({store}: CommandContext): Promise<Map<string, number> | undefined> {
	const objects = await store.list('rates/');
	const shares = new Map<string, number>();
	for (const {value} of objects) {
		for (const workspace of Object.values((value as {workspaces?: Record<string, unknown>} | undefined)?.workspaces ?? {})) {
			const slices = (workspace as {slices?: Record<string, {ratePerS?: unknown}>} | undefined)?.slices ?? {};
			for (const [domain, {ratePerS}] of Object.entries(slices)) {
				shares.set(domain, (shares.get(domain) ?? 0) + (typeof ratePerS === 'number' ? ratePerS : 0));
			}
		}
	}

	return shares.size === 0 ? undefined : shares;
}
