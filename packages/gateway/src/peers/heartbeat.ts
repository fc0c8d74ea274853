import {type Buffer} from 'node:buffer';
import {decode, encode} from 'cbor-x';
import {Collection} from '@fescuewick/store';
import {type VmRecord} from '../model/records.js';
import {type WorkBySlots} from '../placement/work-meter.js';
import {type ReplicaRevisions} from '../state/replica.js';

/** Requests per second that a VM's callers ask for, by workspace. */
export type Demands = Readonly<Record<string, number>>;

/** What a VM tells its peers at short intervals. */
export type Heartbeat = {
	readonly record: VmRecord;
	/** Differs for each start of the process. */
	readonly incarnation: number;
	/** Grows with each heartbeat of an incarnation. */
	readonly sequence: number;
	/** Whether callers may be sent to the VM. */
	readonly isReady: boolean;
	readonly revisions: Readonly<Record<string, ReplicaRevisions>>;
	readonly demands: Demands;
	/** Slots that its callers' requests need, by service. */
	readonly work: WorkBySlots;
};

/** Collections in the order in which their revisions travel. */
const relayed = [Collection.configurations, Collection.backends, Collection.evacuations] as const;
const formatVersion = 1;
const fieldCount = 8;
/** Work travels in tenths of a slot. */
const workScale = 10;

/** Names and numbers in turn. */
type FlatPairs = ReadonlyArray<string | number>;

/** Encodes a heartbeat as one datagram; fields travel by position, because their names were most of the bytes. */
export function encodeHeartbeat({record, incarnation, sequence, isReady, revisions, demands, work}: Heartbeat): Buffer {
	const positions = relayed.flatMap(collection => [revisions[collection].valid, revisions[collection].changed]);
	return encode([
		formatVersion,
		incarnation,
		sequence,
		isReady,
		positions,
		[record.vm, record.failureDomain, record.region, record.entryAddress, record.peerAddress, record.heartbeatAddress],
		Object.entries(demands).flatMap(([workspace, ratePerS]) => [workspace, Math.ceil(ratePerS)]),
		Object.entries(work).flatMap(([service, slots]) => [service, Math.round(slots * workScale)]),
	]);
}

/** Decodes a datagram; undefined if it is not a heartbeat of this format. */
export function decodeHeartbeat(datagram: Uint8Array): Heartbeat | undefined {
	let fields: unknown;
	try {
		fields = decode(datagram);
	} catch {
		return undefined;
	}

	if (!Array.isArray(fields) || fields[0] !== formatVersion || fields.length !== fieldCount) {
		return undefined;
	}

	const [, incarnation, sequence, isReady, positions, place, demands, work] = fields as [number, number, number, boolean, number[], string[], FlatPairs, FlatPairs];
	if (typeof incarnation !== 'number' || !Array.isArray(positions) || !Array.isArray(place) || place.length !== 6 || !Array.isArray(demands) || !Array.isArray(work)) {
		return undefined;
	}

	return {
		record: {
			vm: place[0], failureDomain: place[1], region: place[2], entryAddress: place[3], peerAddress: place[4], heartbeatAddress: place[5],
		},
		incarnation,
		sequence,
		isReady,
		revisions: Object.fromEntries(relayed.map((collection, index) => [collection, {valid: positions[index * 2], changed: positions[(index * 2) + 1]}])),
		demands: Object.fromEntries(pairs(demands)),
		work: Object.fromEntries([...pairs(work)].map(([service, scaled]) => [service, scaled / workScale])),
	};
}

function * pairs(flat: FlatPairs): Generator<[string, number]> {
	for (let index = 0; index + 1 < flat.length; index += 2) {
		yield [String(flat[index]), Number(flat[index + 1])];
	}
}
