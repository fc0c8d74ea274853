import {documentSchema, type ConfigurationDocument} from '@fescuewick/config';
import {
	DecisionKind, FescuewickError, logDecision, ResultCode, type Location, type Logger, type TimerService,
} from '@fescuewick/core';
import {type ShiftGrantBody, type ShiftRequestBody, type SnapshotBody} from '@fescuewick/wire';
import {type ClientBlock} from '../blocks/address.js';
import {type BlockTable} from '../blocks/block-table.js';
import {buildFleet, type Fleet} from '../fleet/fleet.js';
import {blockPosition} from '../shifts/placement.js';
import {ShiftController, shiftStepMs, type ShiftDecision} from '../shifts/shift-controller.js';
import {AnswerTable, EndpointLists, type Answer} from './answer-table.js';

/** Clients keep answers for at most this long while a drain or shift is in progress. */
export const changingTtlMs = 2000;
/** An answer that refuses asks the client to wait this long. */
export const refusalRetryMs = 2000;
/** For this long after a change of the VMs that may be named, answers are kept for `changingTtlMs` only. */
const fleetChangeMs = 60_000;
/** Decisions older than this are renewed before they are used, for example after a pause of the process. */
const maxDecisionAgeMs = 3 * shiftStepMs;

/** What an answer book needs. */
export type AnswerBookOptions = {
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly location: Location;
	readonly lookupTtlMs: number;
	readonly nearestRegions: Readonly<Record<string, readonly string[]>>;
	readonly blocks: BlockTable;
};

/** An answer with the home region that it was made for. */
export type PlacedAnswer = {readonly answer: Answer; readonly home: string};

/** Holds the answers of a look-up daemon; rebuilt when the snapshot or a shift changes. */
export class AnswerBook {
	readonly controller: ShiftController;
	readonly #options: AnswerBookOptions;
	readonly #tables = new Map<string, Map<string, AnswerTable>>();
	#document: ConfigurationDocument | undefined;
	#revision = 0;
	#fleet: Fleet | undefined;
	#lists: EndpointLists | undefined;
	#fleetChangedAtMs = Number.NEGATIVE_INFINITY;
	#steppedAtMs = Number.NEGATIVE_INFINITY;
	#requests: readonly ShiftRequestBody[] = [];
	readonly #logged = new Map<string, string>();
	/** Called after each step. */
	onStep: ((decisions: readonly ShiftDecision[]) => void) | undefined;

	constructor(options: AnswerBookOptions) {
		this.#options = options;
		const {timers, location, lookupTtlMs, nearestRegions} = options;
		this.controller = new ShiftController({
			timers, lookupTtlMs, nearestRegions, failureDomain: location.failureDomain, region: location.region,
		});
	}

	get isReady(): boolean {
		return this.#lists !== undefined;
	}

	get revision(): number {
		return this.#revision;
	}

	/** Shift requests of the last step. */
	get requests(): readonly ShiftRequestBody[] {
		return this.#requests;
	}

	/** Takes a snapshot; one with an unreadable configuration only refreshes members and loads. */
	update(snapshot: SnapshotBody): void {
		if (this.#document === undefined || snapshot.revision > this.#revision) {
			const parsed = documentSchema.safeParse(snapshot.configuration);
			if (parsed.success) {
				this.#document = parsed.data;
				this.#revision = snapshot.revision;
			} else {
				this.#options.logger.error({revision: snapshot.revision, problem: parsed.error.issues[0].message}, 'configuration in the snapshot is not valid');
			}
		}

		if (this.#document === undefined) {
			return;
		}

		this.controller.addLoads(snapshot.loads);
		this.controller.addGrants(snapshot.shiftGrants);
		const fleet = withKnownRegions(buildFleet(snapshot, this.#document), this.#fleet);
		const incarnation = snapshot.controlIncarnation;
		if (fleet.signature !== this.#fleet?.signature || incarnation !== this.#lists?.fallbackIncarnation.incarnation) {
			if (this.#fleet !== undefined) {
				this.#fleetChangedAtMs = this.#options.timers.nowMs();
			}

			this.#fleet = fleet;
			this.#lists = new EndpointLists(fleet, {vm: this.#options.location.vm, incarnation});
			this.#tables.clear();
		}

		this.controller.configure(this.#fleet, this.#document);
		this.step();
	}

	/** Advances the shifts and replaces the answers that changed. */
	step(): void {
		if (this.#lists === undefined) {
			return;
		}

		this.#steppedAtMs = this.#options.timers.nowMs();
		const {decisions, requests} = this.controller.step();
		this.#requests = requests;
		const services = new Set(decisions.map(decision => decision.service));
		for (const service of this.#tables.keys()) {
			if (!services.has(service)) {
				this.#tables.delete(service);
			}
		}

		for (const decision of decisions) {
			this.#apply(decision);
		}

		this.onStep?.(decisions);
	}

	/** Takes the answer to a shift request. */
	takeGrant({service, fromRegion, toDomain}: ShiftRequestBody, {grantedPerS, movedFraction, demandPerS}: ShiftGrantBody, expiresAtMs: number): void {
		const toRegion = this.#regionOf(toDomain);
		if (toRegion !== undefined) {
			this.controller.shift(service, fromRegion).adopt(toDomain, movedFraction, demandPerS);
			this.controller.measurements.addGrant(service, fromRegion, {
				toDomain, toRegion, grantedPerS, expiresAtMs,
			});
		}
	}

	/** The answer for a client; throws `lookupNotReady` or `serviceUnknown`. */
	answerFor(service: string, block: ClientBlock): PlacedAnswer {
		if (this.#options.timers.nowMs() - this.#steppedAtMs > maxDecisionAgeMs) {
			this.step();
		}

		if (this.#lists === undefined) {
			throw new FescuewickError(ResultCode.lookupNotReady, 'the look-up daemon has no configuration yet');
		}

		const tables = this.#tables.get(service);
		if (tables === undefined) {
			throw new FescuewickError(ResultCode.serviceUnknown, `service ${service} is not configured`);
		}

		const match = this.#options.blocks.match(block);
		const ownRegion = this.#options.location.region;
		const home = match === undefined || !tables.has(match.region) ? ownRegion : match.region;
		const table = tables.get(home);
		if (table === undefined) {
			throw new FescuewickError(ResultCode.lookupNotReady, `region ${home} has no entry VMs yet`);
		}

		return {answer: table.answerFor(blockPosition(block, match?.prefixLength ?? 0)), home};
	}

	#regionOf(failureDomain: string): string | undefined {
		for (const region of this.#fleet?.regions.values() ?? []) {
			if (region.domains.includes(failureDomain)) {
				return region.name;
			}
		}

		return undefined;
	}

	#apply(decision: ShiftDecision): void {
		const {service, home, allocations: parts, homeFraction} = decision;
		const tables = this.#tables.get(service) ?? new Map<string, AnswerTable>();
		this.#tables.set(service, tables);
		const isChanging = decision.isChanging || this.#steppedAtMs - this.#fleetChangedAtMs < fleetChangeMs;
		const {lookupTtlMs} = this.#options;
		const input = {
			service, home, parts, homeFraction, ttlMs: isChanging ? Math.min(changingTtlMs, lookupTtlMs) : lookupTtlMs, retryAfterMs: refusalRetryMs,
		};
		const present = tables.get(home);
		if (present?.revision !== this.#revision || JSON.stringify(present.input) !== JSON.stringify(input)) {
			tables.set(home, new AnswerTable(input, this.#lists!, this.#revision));
		}

		this.#logChange(decision);
	}

	/** Logs each change of a shift once. */
	#logChange({service, home, state, totalFraction: total, homeFraction, allocations: parts, reason}: ShiftDecision): void {
		const moved = Object.fromEntries(parts.filter(part => part.fraction > 0).map(part => [part.domain, Math.round(part.fraction * 10_000) / 10_000]));
		const text = JSON.stringify([state, homeFraction, moved]);
		const key = `${service}/${home}`;
		if (text === this.#logged.get(key) || (total === 0 && homeFraction === 1 && !this.#logged.has(key))) {
			return;
		}

		this.#logged.set(key, text);
		logDecision(this.#options.logger, DecisionKind.shift, reason, {
			service, home, state, homeFraction, moved,
		});
	}
}

/** A region whose members have all left the list stays known, so that its clients are not sent elsewhere without grants. */
function withKnownRegions(fleet: Fleet, before: Fleet | undefined): Fleet {
	const missing = [...(before?.regions.values() ?? [])].filter(region => !fleet.regions.has(region.name));
	if (missing.length === 0) {
		return fleet;
	}

	const regions = new Map(fleet.regions);
	for (const {name, domains} of missing) {
		regions.set(name, {
			name, domains, named: [], isServing: false, isDrained: false,
		});
	}

	return {...fleet, regions: new Map([...regions].sort(([a], [b]) => (a < b ? -1 : 1))), signature: `${fleet.signature}+${missing.map(region => region.name).join('+')}`};
}
