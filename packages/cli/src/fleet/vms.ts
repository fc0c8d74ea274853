import {FescuewickError, ResultCode, toFescuewickError} from '@fescuewick/core';
import {vmListPrefix, type VmRecord} from '@fescuewick/wire';
import {z} from 'zod';
import {type CommandContext} from '../context.js';

/** A VM whose admin endpoint can be queried; `record` is undefined if only its URL is known. */
export type VmTarget = {readonly adminUrl: string; readonly record: VmRecord | undefined};

/** The VMs that a command queries, and the error if the list in the store could not be read. */
export type VmDiscovery = {readonly targets: readonly VmTarget[]; readonly storeError: FescuewickError | undefined};

const statusSchema = z.object({
	vm: z.string(),
	failureDomain: z.string(),
	region: z.string(),
	incarnation: z.unknown(),
	revision: z.number(),
	freshnessAgeMs: z.number().nullish(),
	storeReachable: z.boolean(),
	keysAgeMs: z.number().nullish(),
	revokedKeyHashes: z.number(),
	members: z.array(z.object({vm: z.string(), state: z.string(), revision: z.number().nullish()})).default([]),
	ready: z.boolean(),
	draining: z.boolean(),
});

/** Status of a VM, as reported by its admin endpoint. */
export type VmStatus = z.output<typeof statusSchema>;

/** Status of a VM, or the reason why it could not be read. */
export type VmReport = {readonly target: VmTarget; readonly status: VmStatus | undefined; readonly reason: string};

const maxConcurrentRequests = 32;

/** Finds the VMs listed in the store, and adds those admin URLs of the settings that the list does not contain; if the list cannot be read, only the settings are used. */
export async function findVms({store, adminUrls}: CommandContext): Promise<VmDiscovery> {
	let records: readonly VmRecord[] = [];
	let storeError: FescuewickError | undefined;
	try {
		const objects = await store.list(vmListPrefix);
		records = objects.flatMap(({value}) => Array.isArray(value) ? value as VmRecord[] : []);
	} catch (error) {
		storeError = toFescuewickError(error);
	}

	const listedTargets = records.filter(record => typeof record?.adminUrl === 'string' && record.adminUrl !== '').map(record => ({adminUrl: trimUrl(record.adminUrl), record}));
	const listedUrls = new Set(listedTargets.map(target => target.adminUrl));
	const additionalUrls = adminUrls.map(url => trimUrl(url)).filter(url => !listedUrls.has(url));
	return {targets: [...listedTargets, ...additionalUrls.map(adminUrl => ({adminUrl, record: undefined}))], storeError};
}

/** Resolves with the VMs found; throws `endpointUnreachable` if there is none. */
export async function requireTargets(discovery: Promise<VmDiscovery>): Promise<readonly VmTarget[]> {
	const discovered = await discovery;
	if (discovered.targets.length === 0) {
		const listState = discovered.storeError === undefined
			? `the store lists no VM with an admin URL under ${vmListPrefix}`
			: `the list of VMs cannot be read from the store (${discovered.storeError.message})`;
		throw new FescuewickError(ResultCode.endpointUnreachable, `no VM is known: ${listState} and the settings contain no adminUrls`);
	}

	return discovered.targets;
}

/** Name of a VM in output: its ID, or its admin URL if the ID is unknown. */
export function targetName({record, adminUrl}: VmTarget): string {
	return record?.vm ?? adminUrl;
}

/** Fetches the status of a VM; never rejects. */
export async function fetchStatus({fetch}: CommandContext, target: VmTarget): Promise<VmReport> {
	try {
		const {status, body} = await fetch({method: 'GET', url: `${target.adminUrl}/v1/status`});
		const parsed = statusSchema.safeParse(body);
		return parsed.success && status === 200
			? {target, status: parsed.data, reason: ''}
			: {target, status: undefined, reason: `response with status ${status} is not a valid VM status`};
	} catch (error) {
		return {target, status: undefined, reason: `unreachable: ${toFescuewickError(error).message}`};
	}
}

/** Runs `work` for each item with limited concurrency; results are in the order of the items. */
export async function mapConcurrently<Item, Value>(items: readonly Item[], work: (item: Item) => Promise<Value>): Promise<Value[]> {
	const results: Value[] = [];
	const pending = items.entries();
	const runNext = async (): Promise<void> => {
		for (const [index, item] of pending) {
			results[index] = await work(item);
		}
	};

	await Promise.all(Array.from({length: maxConcurrentRequests}, async () => runNext()));
	return results;
}

function trimUrl(url: string): string {
	return url.replace(/\/+$/, '');
}
