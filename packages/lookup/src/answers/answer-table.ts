import {Buffer} from 'node:buffer';
import {orderKeyPrefixHead} from '@fescuewick/orders';
import {errorBody, ResultCode} from '@fescuewick/core';
import {orderVms, type Fleet, type FleetVm} from '../fleet/fleet.js';
import {placeBlock, type ShiftAllocation} from '../shifts/placement.js';

/** Blocks are spread over this many buckets; endpoint orders are kept by bucket. With 1024 the VMs of a region differ in load by about 5 %. */
export const bucketCount = 1024;
const homeEndpoints = 4;
const otherEndpoints = 2;
/** Admission to a returning region uses lower bits of the position than the moved parts, so that it is independent of them. */
const admissionScale = 2 ** 20;

/** Kind of a routing decision, also its reason in the log. */
export enum AnswerReason {
	home = 'home',
	moved = 'moved',
	homeLost = 'home-lost',
	noCapacity = 'no-capacity',
}

/** State of one service and home region that answers are made from. */
export type AnswerInput = {
	readonly service: string;
	readonly home: string;
	readonly parts: readonly ShiftAllocation[];
	/** Part of the blocks that are not moved for which the home region is named; below 1 while it returns from a loss. */
	readonly homeFraction: number;
	readonly ttlMs: number;
	readonly retryAfterMs: number;
};

/** An answer without the moment of issue of its order key. */
export type Answer = {
	readonly code: ResultCode;
	readonly reason: AnswerReason;
	/** Region of the first endpoint. */
	readonly region: string;
	readonly vm: string;
	/** JSON text before the moment of issue, or the whole text if nothing is named. */
	readonly head: string;
	/** JSON text after the moment of issue. */
	readonly tail: string;
	readonly retryAfterMs: number;
	/** Fields of the log line of a look-up, as JSON text. */
	readonly logFields: string;
	/** The text for the present second. */
	rendered?: RenderedAnswer;
};

/** Text of a response. */
export type RenderedAnswer = {readonly issuedAtMs: number; readonly text: string; readonly sizeBytes: number};

/** Order keys are issued at full seconds, so that the responses of a second share one text; joining it each time cost about 2 µs. */
const issueIntervalMs = 1000;

/** The text of an answer at a moment. */
export function renderAnswer(answer: Answer, wallClockMs: number): RenderedAnswer {
	const issuedAtMs = wallClockMs - (wallClockMs % issueIntervalMs);
	if (answer.rendered?.issuedAtMs !== issuedAtMs) {
		const text = answer.code === ResultCode.ok ? answer.head + issuedAtMs + answer.tail : answer.head;
		answer.rendered = {issuedAtMs, text, sizeBytes: Buffer.byteLength(text)};
	}

	return answer.rendered;
}

type Piece = {readonly text: string; readonly first: FleetVm | undefined};

/** Endpoint lists by region and bucket, shared by the services; built when first used. */
export class EndpointLists {
	readonly #pieces = new Map<string, Piece[]>();

	constructor(readonly fleet: Fleet, readonly fallbackIncarnation: {readonly vm: string; readonly incarnation: string}) {}

	/** JSON objects of the VMs of a region in the order for a bucket, separated by commas. */
	list(region: string, bucket: number, limit: number, domain: string | undefined): Piece {
		const key = `${region}/${limit}/${domain ?? ''}`;
		let pieces = this.#pieces.get(key);
		if (pieces === undefined) {
			pieces = Array.from({length: bucketCount});
			this.#pieces.set(key, pieces);
		}

		pieces[bucket] ??= this.#build(region, bucket, limit, domain);
		return pieces[bucket];
	}

	/** The order key prefix up to the moment of issue; names the control daemon of this VM if that of `vm` is not known. */
	ticketHead(vm: FleetVm): string {
		const {vm: name, incarnation} = vm.incarnation === undefined ? this.fallbackIncarnation : {vm: vm.vm, incarnation: vm.incarnation};
		return orderKeyPrefixHead(name, incarnation);
	}

	#build(region: string, bucket: number, limit: number, domain: string | undefined): Piece {
		const named = this.fleet.regions.get(region)?.named ?? [];
		const vms = orderVms(domain === undefined ? named : named.filter(vm => vm.failureDomain === domain), bucket).slice(0, limit);
		return {text: vms.map(vm => endpointText(vm)).join(','), first: vms[0]};
	}
}

/** Answers for one service and home region: a look-up is a table access by the block's position. */
export class AnswerTable {
	readonly #answers: Array<Map<ShiftAllocation | undefined, Map<ShiftAllocation | undefined, Answer>> | undefined> = Array.from({length: bucketCount});

	readonly #notAdmitted: Answer;

	constructor(readonly input: AnswerInput, private readonly lists: EndpointLists, readonly revision: number) {
		this.#notAdmitted = this.#refused();
	}

	/** The answer for a block at `position` in [0, 1). */
	answerFor(position: number): Answer {
		// The bucket comes from lower bits than the position, so that a moved part has blocks of all buckets.
		const bucket = Math.floor(position * (2 ** 53)) % bucketCount;
		const {moved, standby} = placeBlock(position, this.input.parts);
		if (moved === undefined && (position * admissionScale) % 1 >= this.input.homeFraction && this.lists.fleet.lastResort.length === 0) {
			return this.#notAdmitted;
		}

		this.#answers[bucket] ??= new Map();
		const byMoved = this.#answers[bucket];
		let byStandby = byMoved.get(moved);
		if (byStandby === undefined) {
			byStandby = new Map();
			byMoved.set(moved, byStandby);
		}

		let answer = byStandby.get(standby);
		if (answer === undefined) {
			answer = this.#build(bucket, moved, standby);
			byStandby.set(standby, answer);
		}

		return answer;
	}

	#build(bucket: number, moved: ShiftAllocation | undefined, standby: ShiftAllocation | undefined): Answer {
		const {home} = this.input;
		const homeList = this.lists.list(home, bucket, homeEndpoints, undefined);
		if (moved !== undefined) {
			const movedList = this.lists.list(moved.region, bucket, homeEndpoints, moved.domain);
			if (movedList.first !== undefined) {
				return this.#named([movedList, homeList], AnswerReason.moved);
			}
		}

		if (homeList.first !== undefined) {
			const fallback = standby === undefined ? [] : [this.lists.list(standby.region, bucket, otherEndpoints, standby.domain)];
			return this.#named([homeList, ...fallback], AnswerReason.home);
		}

		const {lastResort} = this.lists.fleet;
		if (lastResort.length > 0) {
			const vms = orderVms(lastResort, bucket).slice(0, homeEndpoints);
			return this.#named([{text: vms.map(vm => endpointText(vm)).join(','), first: vms[0]}], AnswerReason.homeLost);
		}

		return this.#notAdmitted;
	}

	#named(lists: readonly Piece[], reason: AnswerReason): Answer {
		const {service, ttlMs, retryAfterMs} = this.input;
		const first = lists[0].first!;
		const endpoints = lists.filter(list => list.first !== undefined).map(list => list.text).join(',');
		return {
			code: ResultCode.ok,
			reason,
			region: first.region,
			vm: first.vm,
			head: `{"service":${JSON.stringify(service)},"ttlMs":${ttlMs},"endpoints":[${endpoints}],"orderKeyPrefix":"${this.lists.ticketHead(first)}`,
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

	#refused(): Answer {
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
