import {type Buffer} from 'node:buffer';
import {decode, encode} from 'cbor-x';
import {type BucketReports} from '../limits/shared-token-bucket.js';
import {isVmRecord, type VmRecord} from '../model/records.js';
import {type ShiftedFractions} from '../placement/region-plan.js';
import {type SlotDemand, type SlotsByService} from '../placement/slot-demand-meter.js';
import {followedCollections} from '../state/followed-collections.js';
import {type AdvertisedState} from '../state/fleet-state.js';
import {type ReplicaRevisions, type StoreReading} from '../state/replica.js';
import {type StoreAccess} from './store-readers.js';

/** State that a VM sends to its peers at short intervals. */
export type Heartbeat = AdvertisedState & {
	readonly record: VmRecord;
	/** Random number chosen at the start of the process; distinguishes a restarted VM from its predecessor. */
	readonly incarnation: number;
	/** Increases with each heartbeat of an incarnation. */
	readonly sequence: number;
	/** Whether the directory may name the VM to callers. */
	readonly isReady: boolean;
	readonly storeAccess: StoreAccess;
	/** Token bucket reports of the workspaces with a rate limit. */
	readonly buckets: BucketReports;
	/** Demand of the VM's callers, in slots. */
	readonly slotDemand: SlotDemand;
	/** Fractions of its callers' requests that are sent to other regions, by service and region. */
	readonly shiftedFractions: ShiftedFractions;
};

const formatVersion = 5;
const fieldCount = 13;
/** Rates and slots are encoded in tenths, fractions in hundredths. */
const rateScale = 10;
const fractionScale = 100;
/** Ages are encoded in this unit, in milliseconds. */
const ageUnitMs = 10;
/** Older readings confirm nothing that a peer could act on and are left out, in milliseconds. */
const maxReadingAgeMs = 10_000;

/** Flat list of alternating names and numbers, because maps would repeat the field names. */
type FlatEntries = ReadonlyArray<string | number | null>;

/** Encodes a heartbeat as one datagram; fields are encoded by position, because their names would take most of the bytes. */
export function encodeHeartbeat({record, incarnation, sequence, isReady, storeAccess, storeEra, heldVersion, revisions, storeReadings, buckets, slotDemand, shiftedFractions}: Heartbeat): Buffer {
	const flatRevisions = followedCollections.flatMap(collection => [revisions[collection].valid, revisions[collection].changed]);
	return encode([
		formatVersion,
		incarnation,
		sequence,
		isReady,
		storeAccess,
		flatRevisions,
		[record.vm, record.failureDomain, record.region, record.entryAddress, record.peerAddress, record.heartbeatAddress],
		Object.entries(buckets).flatMap(([workspace, {passed, askedPerS, tokens}]) => [workspace, passed, Math.round(askedPerS * rateScale), tokens === undefined ? null : Math.round(tokens)]),
		flattenSlots(slotDemand.free),
		Object.entries(slotDemand.bound).flatMap(([region, bound]) => chunksOf(flattenSlots(bound), 2).flatMap(([service, slots]) => [region, service, slots])),
		Object.entries(shiftedFractions).flatMap(([service, fractions]) => Object.entries(fractions).flatMap(([region, fraction]) => [service, region, Math.round(fraction * fractionScale)])),
		followedCollections.flatMap(collection => encodeReading(storeReadings[collection], revisions[collection])),
		// Few heartbeats have a held version, so it takes no byte in the others.
		heldVersion === undefined ? storeEra : [storeEra, heldVersion],
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

	const [, incarnation, sequence, isReady, storeAccess, flatRevisions, recordFields, buckets, freeDemand, bound, shifted, flatReadings, storePart] = fields as [number, number, number, boolean, StoreAccess, number[], string[], FlatEntries, FlatEntries, FlatEntries, FlatEntries, FlatEntries, unknown];
	const [storeEra, ...heldVersions] = Array.isArray(storePart) ? storePart as unknown[] : [storePart];
	if (typeof incarnation !== 'number' || !isCount(storeEra) || !heldVersions.every(version => isCount(version)) || recordFields?.length !== 6 || ![flatRevisions, recordFields, buckets, freeDemand, bound, shifted, flatReadings].every(field => Array.isArray(field))) {
		return undefined;
	}

	const record = {
		vm: recordFields[0], failureDomain: recordFields[1], region: recordFields[2], entryAddress: recordFields[3], peerAddress: recordFields[4], heartbeatAddress: recordFields[5],
	};
	if (!isVmRecord(record) || flatRevisions.length < followedCollections.length * 2 || flatRevisions.some(revision => typeof revision !== 'number')) {
		return undefined;
	}

	const revisions = Object.fromEntries(followedCollections.map((collection, index) => [collection, {valid: flatRevisions[index * 2], changed: flatRevisions[(index * 2) + 1]}]));
	return {
		record,
		incarnation,
		sequence,
		isReady,
		storeAccess,
		storeEra,
		...(heldVersions.length > 0 && {heldVersion: heldVersions[0]}),
		revisions,
		storeReadings: readReadings(flatReadings, revisions),
		buckets: Object.fromEntries(chunksOf(buckets, 4).map(([workspace, passed, askedPerS, tokens]) => [String(workspace), {passed: Number(passed), askedPerS: Number(askedPerS) / rateScale, tokens: tokens === null ? undefined : Number(tokens)}])),
		slotDemand: {free: readSlots(freeDemand), bound: readBound(bound)},
		shiftedFractions: readShiftedFractions(shifted),
	};
}

function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && Number(value) >= 0;
}

/** Age and revision of a reading; the revision relative to that of the last change, from which it rarely differs. */
function encodeReading(reading: StoreReading | undefined, {changed}: ReplicaRevisions): FlatEntries {
	return reading === undefined || reading.ageMs > maxReadingAgeMs ? [null, 0] : [Math.ceil(reading.ageMs / ageUnitMs), reading.changedBy - changed];
}

function readReadings(flat: FlatEntries, revisions: Readonly<Record<string, ReplicaRevisions>>): Record<string, StoreReading> {
	const readings: Record<string, StoreReading> = {};
	for (const [index, [age, changedAfter]] of chunksOf(flat, 2).slice(0, followedCollections.length).entries()) {
		const collection = followedCollections[index];
		if (typeof age === 'number' && age >= 0 && typeof changedAfter === 'number') {
			readings[collection] = {changedBy: revisions[collection].changed + changedAfter, ageMs: age * ageUnitMs};
		}
	}

	return readings;
}

/** Flat list of alternating services and slots, without services whose slots round to 0. */
function flattenSlots(slotsByService: SlotsByService): FlatEntries {
	return Object.entries(slotsByService).map(([service, slots]) => [service, Math.round(slots * rateScale)] as const).filter(([, slots]) => slots > 0).flat();
}

function readSlots(flat: FlatEntries): SlotsByService {
	return Object.fromEntries(chunksOf(flat, 2).map(([service, slots]) => [String(service), Number(slots) / rateScale]));
}

function readBound(flat: FlatEntries): Record<string, SlotsByService> {
	const bound: Record<string, Record<string, number>> = {};
	for (const [region, service, slots] of chunksOf(flat, 3)) {
		bound[String(region)] = {...bound[String(region)], [String(service)]: Number(slots) / rateScale};
	}

	return bound;
}

function readShiftedFractions(flat: FlatEntries): ShiftedFractions {
	const shiftedFractions: Record<string, Record<string, number>> = {};
	for (const [service, region, fraction] of chunksOf(flat, 3)) {
		shiftedFractions[String(service)] = {...shiftedFractions[String(service)], [String(region)]: Number(fraction) / fractionScale};
	}

	return shiftedFractions;
}

function chunksOf(flat: FlatEntries, length: number): FlatEntries[] {
	return Array.from({length: Math.floor(flat.length / length)}, (_, index) => flat.slice(index * length, (index + 1) * length));
}
