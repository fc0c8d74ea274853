import {Buffer} from 'node:buffer';
import {orderKeyPrefixHead} from '@fescuewick/orders';
import {errorBody, ResultCode} from '@fescuewick/core';
import {orderVms, type Fleet, type FleetVm} from '../fleet/fleet.js';
import {placeBlock, type ShiftAllocation} from '../shifts/placement.js';

/** Number of buckets that blocks are hashed to; each bucket has its own endpoint order. With 1024 buckets the loads of the VMs of a region differ by about 5 %. */
export const bucketCount = 1024;
const maxEndpointsPerRegion = 4;
const maxStandbyEndpoints = 2;
/** Admission during a ramp-up uses lower bits of the position than shift allocations, so that it is independent of them. */
const admissionScale = 2 ** 20;

/** Reason of an answer; also logged as the reason of the routing decision. */
export enum AnswerReason {
	home = 'home',
	/** The client's block is shifted to another region. */
	moved = 'moved',
	/** No region has an eligible VM; the answer contains VMs that are about to stop. */
	homeLost = 'home-lost',
	/** The client is rejected: no VM may serve it, or the home region does not admit its block during a ramp-up. */
	noCapacity = 'no-capacity',
}

/** State of one service and home region from which answers are built. */
export type AnswerInput = {
	readonly service: string;
	readonly home: string;
	readonly allocations: readonly ShiftAllocation[];
	/** Of the blocks that are not shifted, the fraction that is directed to the home region; below 1 during its ramp-up. */
	readonly homeFraction: number;
	readonly ttlMs: number;
	readonly retryAfterMs: number;
};

/** An answer to a look-up, except for the time of issue in its order key prefix. */
export type Answer = {
	readonly code: ResultCode;
	readonly reason: AnswerReason;
	/** Region of the first endpoint. */
	readonly region: string;
	readonly vm: string;
	/** JSON text before the time of issue, or the whole text if there are no endpoints. */
	readonly head: string;
	/** JSON text after the time of issue. */
	readonly tail: string;
	readonly retryAfterMs: number;
	/** Fields of the log line of a look-up, as JSON text. */
	readonly logFields: string;
	/** Cached text of the current second. */
	rendered?: RenderedAnswer;
};

/** Text of a response. */
export type RenderedAnswer = {readonly issuedAtMs: number; readonly text: string; readonly sizeBytes: number};

/** Times of issue are rounded down to full seconds, so that the responses of a second share one text; concatenating it for each response takes about 2 µs. */
const issueIntervalMs = 1000;

/** Returns the text of an answer at a wall-clock time, cached for a second. */
export function renderAnswer(answer: Answer, wallClockMs: number): RenderedAnswer {
	const issuedAtMs = wallClockMs - (wallClockMs % issueIntervalMs);
	if (answer.rendered?.issuedAtMs !== issuedAtMs) {
		const text = answer.code === ResultCode.ok ? answer.head + issuedAtMs + answer.tail : answer.head;
		answer.rendered = {issuedAtMs, text, sizeBytes: Buffer.byteLength(text)};
	}

	return answer.rendered;
}

type EndpointList = {readonly text: string; readonly first: FleetVm | undefined};

/** Endpoint lists by region and bucket, shared by the services; built on first use. */
export class EndpointLists {
	readonly #listsByScope = new Map<string, EndpointList[]>();

	constructor(readonly fleet: Fleet, readonly ownControlDaemon: {readonly vm: string; readonly incarnation: string}) {}

	/** Comma-separated JSON objects of at most `limit` VMs of a region, or of one of its failure domains, in the order of a bucket. */
	list(region: string, bucket: number, limit: number, domain: string | undefined): EndpointList {
		const key = `${region}/${limit}/${domain ?? ''}`;
		let lists = this.#listsByScope.get(key);
		if (lists === undefined) {
			lists = Array.from({length: bucketCount});
			this.#listsByScope.set(key, lists);
		}

		lists[bucket] ??= this.#build(region, bucket, limit, domain);
		return lists[bucket];
	}

	/** The order key prefix up to the time of issue. Contains `vm` and the incarnation of its control daemon, or this VM and that of its own control daemon if the former is unknown. */
	orderKeyPrefixHead(vm: FleetVm): string {
		const {vm: name, incarnation} = vm.incarnation === undefined ? this.ownControlDaemon : {vm: vm.vm, incarnation: vm.incarnation};
		return orderKeyPrefixHead(name, incarnation);
	}

	#build(region: string, bucket: number, limit: number, domain: string | undefined): EndpointList {
		const eligibleVms = this.fleet.regions.get(region)?.eligibleVms ?? [];
		const vms = orderVms(domain === undefined ? eligibleVms : eligibleVms.filter(vm => vm.failureDomain === domain), bucket).slice(0, limit);
		return {text: vms.map(vm => endpointText(vm)).join(','), first: vms[0]};
	}
}

/** Answers for one service and home region, indexed by the position of the client's block. */
export class AnswerTable {
	/** By bucket, allocation that the block is shifted by and standby allocation; built on first use. */
	readonly #answers: Array<Map<ShiftAllocation | undefined, Map<ShiftAllocation | undefined, Answer>> | undefined> = Array.from({length: bucketCount});

	readonly #noCapacityAnswer: Answer;

	constructor(readonly input: AnswerInput, private readonly lists: EndpointLists, readonly revision: number) {
		this.#noCapacityAnswer = this.#buildNoCapacityAnswer();
	}

	/** The answer for a block at `position` in [0, 1). */
	answerFor(position: number): Answer {
		// The bucket is taken from the lowest bits of the position, so that each allocation has blocks of all buckets.
		const bucket = Math.floor(position * (2 ** 53)) % bucketCount;
		const {shifted, standby} = placeBlock(position, this.input.allocations);
		if (shifted === undefined && (position * admissionScale) % 1 >= this.input.homeFraction && this.lists.fleet.lastResortVms.length === 0) {
			return this.#noCapacityAnswer;
		}

		this.#answers[bucket] ??= new Map();
		const byShifted = this.#answers[bucket];
		let byStandby = byShifted.get(shifted);
		if (byStandby === undefined) {
			byStandby = new Map();
			byShifted.set(shifted, byStandby);
		}

		let answer = byStandby.get(standby);
		if (answer === undefined) {
			answer = this.#build(bucket, shifted, standby);
			byStandby.set(standby, answer);
		}

		return answer;
	}

	#build(bucket: number, shifted: ShiftAllocation | undefined, standby: ShiftAllocation | undefined): Answer {
		const {home} = this.input;
		const homeList = this.lists.list(home, bucket, maxEndpointsPerRegion, undefined);
		if (shifted !== undefined) {
			const shiftedList = this.lists.list(shifted.region, bucket, maxEndpointsPerRegion, shifted.domain);
			if (shiftedList.first !== undefined) {
				return this.#buildEndpointAnswer([shiftedList, homeList], AnswerReason.moved);
			}
		}

		if (homeList.first !== undefined) {
			const fallback = standby === undefined ? [] : [this.lists.list(standby.region, bucket, maxStandbyEndpoints, standby.domain)];
			return this.#buildEndpointAnswer([homeList, ...fallback], AnswerReason.home);
		}

		const {lastResortVms} = this.lists.fleet;
		if (lastResortVms.length > 0) {
			const vms = orderVms(lastResortVms, bucket).slice(0, maxEndpointsPerRegion);
			return this.#buildEndpointAnswer([{text: vms.map(vm => endpointText(vm)).join(','), first: vms[0]}], AnswerReason.homeLost);
		}

		return this.#noCapacityAnswer;
	}

	#buildEndpointAnswer(lists: readonly EndpointList[], reason: AnswerReason): Answer {
		const {service, ttlMs, retryAfterMs} = this.input;
		const first = lists[0].first!;
		const endpoints = lists.filter(list => list.first !== undefined).map(list => list.text).join(',');
		return {
			code: ResultCode.ok,
			reason,
			region: first.region,
			vm: first.vm,
			head: `{"service":${JSON.stringify(service)},"ttlMs":${ttlMs},"endpoints":[${endpoints}],"orderKeyPrefix":"${this.lists.orderKeyPrefixHead(first)}`,
			tail: `.","revision":${this.revision}}`,
			retryAfterMs,
			logFields: this.#logFields(reason, first.region, first.vm),
		};
	}

	#logFields(reason: AnswerReason, region: string, vm: string): string {
		const {service, home} = this.input;
		return JSON.stringify({
			reason, service, home, region, vm,
		}).slice(1, -1);
	}

	#buildNoCapacityAnswer(): Answer {
		const {retryAfterMs} = this.input;
		return {
			code: ResultCode.noCapacity,
			reason: AnswerReason.noCapacity,
			region: '',
			vm: '',
			head: JSON.stringify(errorBody(ResultCode.noCapacity, undefined, retryAfterMs)),
			tail: '',
			retryAfterMs,
			logFields: this.#logFields(AnswerReason.noCapacity, '', ''),
		};
	}
}

function endpointText(vm: FleetVm): string {
	return JSON.stringify({
		vm: vm.vm, failureDomain: vm.failureDomain, region: vm.region, url: vm.url,
	});
}
