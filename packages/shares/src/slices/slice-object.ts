import {z} from 'zod';
import {divideRate, domainFloors, type RateQuota} from '../allocator/division.js';
import {type WorkspaceRate} from '../settings.js';

const quota = z.object({ratePerS: z.number(), burst: z.number()});
const slice = quota.extend({wantedPerS: z.number().min(0), epoch: z.int()});
const workspace = z.object({
	/** Revision of the configuration that the total is from. */
	revision: z.int(),
	total: quota,
	/** The unallocated quota; negative while slices have to shrink after the total was lowered. */
	free: quota,
	slices: z.record(z.string(), slice),
});
const sliceObjectSchema = z.object({
	workspaces: z.record(z.string(), workspace),
	allocators: z.record(z.string(), z.object({incarnation: z.string(), epoch: z.int()})),
});

/** Content of a store object `rates/<bucket>`. */
export type SliceObject = z.output<typeof sliceObjectSchema>;
/** Slices of one workspace. */
export type WorkspaceSlices = z.output<typeof workspace>;

/** Key of the object of a bucket. */
export function sliceKey(bucket: number): string {
	return `rates/${bucket}`;
}

/** Parses the value of the object; throws a zod error if it does not match the schema. */
export function parseSliceObject(value: unknown): SliceObject {
	return value === undefined ? {workspaces: {}, allocators: {}} : sliceObjectSchema.parse(value);
}

/** Hysteresis: a slice is reduced only if it exceeds its target by more than this fraction of the total. */
const minReleaseFraction = 0.04;
/** The same while the demand of another domain exceeds its slice; with six domains, the larger value withheld a tenth of a rate. */
const minContendedReleaseFraction = 0.002;
/** Minimum gain of a slice in one step, as a fraction of the total. */
const minGainFraction = 0.005;
/** Demand is published or announced again when it differs from the last value by more than both fractions, or has ended. */
const publishThreshold = {fractionOfTotal: 0.04, fractionOfPublished: 0.2};

/** Planned change of a failure domain's slice. */
export type SliceStep = {
	/** Quota that may be granted to holders from now on; below the slice while a part of it is being recalled. */
	readonly grantable: RateQuota;
	/** Slice to write. */
	readonly next: RateQuota;
	/** Demand to publish. */
	readonly wantedPerS: number;
	/** Target of the slice by demand. */
	readonly target: RateQuota;
};

/** Demand and uncommitted quota of a failure domain for one workspace. */
export type DomainDemand = {
	readonly domain: string;
	/** All known failure domains. */
	readonly domains: readonly string[];
	readonly wantedPerS: number;
	/** Quota of the slice that holders neither have nor may still receive. */
	readonly uncommitted: RateQuota;
};

/** Sets the total of an entry to the configured rate if the configuration is newer; returns undefined without an entry and a rate. */
export function adoptRate(entry: WorkspaceSlices | undefined, rate: WorkspaceRate | undefined, revision: number): WorkspaceSlices | undefined {
	const total = {ratePerS: rate?.ratePerS ?? 0, burst: rate?.burst ?? 0};
	if (entry === undefined) {
		return rate === undefined
			? undefined
			: {
				revision, total, free: {...total}, slices: {},
			};
	}

	if (revision <= entry.revision || (entry.total.ratePerS === total.ratePerS && entry.total.burst === total.burst)) {
		return entry;
	}

	return {
		...entry, revision, total, free: {
			ratePerS: entry.free.ratePerS + total.ratePerS - entry.total.ratePerS,
			burst: entry.free.burst + total.burst - entry.total.burst,
		},
	};
}

/** Fraction of each slice that may be used while the configured rate is below the sum of the slices. */
export function usableFraction(entry: WorkspaceSlices, rate: WorkspaceRate | undefined, revision: number): RateQuota {
	const total = revision >= entry.revision ? rate ?? {ratePerS: 0, burst: 0} : entry.total;
	const sliced = {ratePerS: 0, burst: 0};
	for (const {ratePerS, burst} of Object.values(entry.slices)) {
		sliced.ratePerS += ratePerS;
		sliced.burst += burst;
	}

	return {
		ratePerS: sliced.ratePerS > total.ratePerS ? total.ratePerS / sliced.ratePerS : 1,
		burst: sliced.burst > total.burst ? total.burst / sliced.burst : 1,
	};
}

/** Plans the next change of the domain's slice towards its target. */
export function planStep(entry: WorkspaceSlices, demand: DomainDemand): SliceStep {
	const own = entry.slices[demand.domain] ?? {
		ratePerS: 0, burst: 0, wantedPerS: 0, epoch: 0,
	};
	const wantedPerS = demandToPublish(entry, own.wantedPerS, demand.wantedPerS);
	const target = targetsOf(entry, demand, wantedPerS).get(demand.domain)!;
	const overdrawn = entry.free.ratePerS < 0 || entry.free.burst < 0;
	const surplus = {ratePerS: own.ratePerS - target.ratePerS, burst: own.burst - target.burst};
	const minFraction = isAnotherDomainShort(entry, demand.domain) ? minContendedReleaseFraction : minReleaseFraction;
	if (overdrawn || surplus.ratePerS > minFraction * entry.total.ratePerS || surplus.burst > Math.max(1, minFraction * entry.total.burst)) {
		const grantable = {ratePerS: Math.min(own.ratePerS, target.ratePerS), burst: Math.min(own.burst, target.burst)};
		const next = {
			ratePerS: Math.max(grantable.ratePerS, own.ratePerS - Math.max(0, demand.uncommitted.ratePerS)),
			burst: Math.max(grantable.burst, own.burst - Math.max(0, demand.uncommitted.burst)),
		};
		return {
			grantable, next, wantedPerS, target,
		};
	}

	const gainOf = (missing: number, free: number, total: number) => {
		const amount = Math.min(Math.max(0, missing), Math.max(0, free));
		return amount > minGainFraction * total ? amount : 0;
	};

	const next = {
		ratePerS: own.ratePerS + gainOf(-surplus.ratePerS, entry.free.ratePerS, entry.total.ratePerS),
		burst: own.burst + gainOf(-surplus.burst, entry.free.burst, entry.total.burst),
	};
	return {
		grantable: {ratePerS: own.ratePerS, burst: own.burst}, next, wantedPerS, target,
	};
}

/** The entry after a step of one domain; a gain of the slice is taken from `free`, a reduction is added to it. */
export function applyStep(entry: WorkspaceSlices, domain: string, step: SliceStep, epoch: number): WorkspaceSlices {
	const own = entry.slices[domain] ?? {ratePerS: 0, burst: 0};
	return {
		...entry,
		free: {
			ratePerS: entry.free.ratePerS + own.ratePerS - step.next.ratePerS,
			burst: entry.free.burst + own.burst - step.next.burst,
		},
		slices: {...entry.slices, [domain]: {...step.next, wantedPerS: step.wantedPerS, epoch}},
	};
}

/** Whether a domain's demand differs enough from the announced demand to be announced again. */
export function isSignificantChange(entry: WorkspaceSlices, announcedPerS: number, wantedPerS: number): boolean {
	return demandToPublish(entry, announcedPerS, wantedPerS) !== announcedPerS;
}

function demandToPublish(entry: WorkspaceSlices, published: number, wantedPerS: number): number {
	const change = Math.abs(wantedPerS - published);
	const significant = change > (publishThreshold.fractionOfTotal * entry.total.ratePerS) && change > (publishThreshold.fractionOfPublished * published);
	const idle = published > 0 && wantedPerS === 0;
	return significant || idle ? wantedPerS : published;
}

function isAnotherDomainShort(entry: WorkspaceSlices, domain: string): boolean {
	return Object.entries(entry.slices).some(([name, {wantedPerS, ratePerS}]) => name !== domain && wantedPerS > ratePerS);
}

/** Targets of the slices of all domains by demand. */
export function targetsOf(entry: WorkspaceSlices, scope: {domain: string; domains: readonly string[]}, wantedPerS: number): Map<string, RateQuota> {
	const names = new Set([...scope.domains, ...Object.keys(entry.slices), scope.domain]);
	const recipients = [...names].map(id => ({id, wanted: id === scope.domain ? wantedPerS : entry.slices[id]?.wantedPerS ?? 0}));
	return divideRate(entry.total, recipients, domainFloors);
}
