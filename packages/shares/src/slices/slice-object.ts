import {z} from 'zod';
import {divideRate, domainFloors, type RateQuota} from '../allocator/division.js';
import {type WorkspaceRate} from '../settings.js';

const part = z.object({ratePerS: z.number(), burst: z.number()});
const slice = part.extend({wantedPerS: z.number().min(0), epoch: z.int()});
const workspace = z.object({
	/** Revision of the configuration that the total is from. */
	revision: z.int(),
	total: part,
	/** The unallocated rest; negative while slices have to shrink after the total was lowered. */
	free: part,
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

/** Reads the object's value; throws a zod error if its form is wrong. */
export function parseSliceObject(value: unknown): SliceObject {
	return value === undefined ? {workspaces: {}, allocators: {}} : sliceObjectSchema.parse(value);
}

/** Part of the total that a slice must exceed its target by before it is reduced; prevents oscillation. */
const minReleaseFraction = 0.04;
/** The same while another domain wants more than it has; with six domains, the larger threshold held back a tenth of a rate. */
const minContendedReleaseFraction = 0.002;
/** Part of the total that a claim must at least bring. */
const minClaimFraction = 0.005;
/** Published demand is corrected when it is off by more than this part of the total or of itself. */
const publishThreshold = {fractionOfTotal: 0.04, fractionOfPublished: 0.2};

/** What a failure domain wants to do with its slice. */
export type SliceStep = {
	/** Most that may be lent from now on; below the slice while a part is recalled. */
	readonly grantable: RateQuota;
	/** Slice after the next write. */
	readonly next: RateQuota;
	/** Demand to publish. */
	readonly wantedPerS: number;
	/** Part that demand entitles the domain to. */
	readonly target: RateQuota;
};

/** Where a failure domain stands for one workspace. */
export type DomainDemand = {
	readonly domain: string;
	/** All known failure domains. */
	readonly domains: readonly string[];
	readonly wantedPerS: number;
	/** Part of the slice that is not lent. */
	readonly uncommitted: RateQuota;
};

/** Brings the totals of an entry to the configuration, if that is newer. */
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

/** Part of slices that may be used when the configured rate is lower than their sum. */
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

/** Plans the next step towards the part that demand entitles the domain to. */
export function planStep(entry: WorkspaceSlices, view: DomainDemand): SliceStep {
	const own = entry.slices[view.domain] ?? {
		ratePerS: 0, burst: 0, wantedPerS: 0, epoch: 0,
	};
	const wantedPerS = publishedWanted(entry, own.wantedPerS, view.wantedPerS);
	const target = targetsOf(entry, view, wantedPerS).get(view.domain)!;
	const overdrawn = entry.free.ratePerS < 0 || entry.free.burst < 0;
	const surplus = {ratePerS: own.ratePerS - target.ratePerS, burst: own.burst - target.burst};
	const minFraction = isAnotherDomainShort(entry, view.domain) ? minContendedReleaseFraction : minReleaseFraction;
	if (overdrawn || surplus.ratePerS > minFraction * entry.total.ratePerS || surplus.burst > Math.max(1, minFraction * entry.total.burst)) {
		const grantable = {ratePerS: Math.min(own.ratePerS, target.ratePerS), burst: Math.min(own.burst, target.burst)};
		const next = {
			ratePerS: Math.max(grantable.ratePerS, own.ratePerS - Math.max(0, view.uncommitted.ratePerS)),
			burst: Math.max(grantable.burst, own.burst - Math.max(0, view.uncommitted.burst)),
		};
		return {
			grantable, next, wantedPerS, target,
		};
	}

	const claim = (missing: number, free: number, total: number) => {
		const amount = Math.min(Math.max(0, missing), Math.max(0, free));
		return amount > minClaimFraction * total ? amount : 0;
	};

	const next = {
		ratePerS: own.ratePerS + claim(-surplus.ratePerS, entry.free.ratePerS, entry.total.ratePerS),
		burst: own.burst + claim(-surplus.burst, entry.free.burst, entry.total.burst),
	};
	return {
		grantable: {ratePerS: own.ratePerS, burst: own.burst}, next, wantedPerS, target,
	};
}

/** The entry after a step of one domain; what the slice gains is taken from the rest and the reverse. */
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

/** Whether a domain's demand differs enough from the one that was stated before. */
export function isSignificantChange(entry: WorkspaceSlices, announcedPerS: number, wantedPerS: number): boolean {
	return publishedWanted(entry, announcedPerS, wantedPerS) !== announcedPerS;
}

function publishedWanted(entry: WorkspaceSlices, published: number, wantedPerS: number): number {
	const change = Math.abs(wantedPerS - published);
	const significant = change > (publishThreshold.fractionOfTotal * entry.total.ratePerS) && change > (publishThreshold.fractionOfPublished * published);
	const idle = published > 0 && wantedPerS === 0;
	return significant || idle ? wantedPerS : published;
}

function isAnotherDomainShort(entry: WorkspaceSlices, domain: string): boolean {
	return Object.entries(entry.slices).some(([name, {wantedPerS, ratePerS}]) => name !== domain && wantedPerS > ratePerS);
}

/** Parts that demand entitles all domains to. */
export function targetsOf(entry: WorkspaceSlices, view: {domain: string; domains: readonly string[]}, wantedPerS: number): Map<string, RateQuota> {
	const names = new Set([...view.domains, ...Object.keys(entry.slices), view.domain]);
	const recipients = [...names].map(id => ({id, wanted: id === view.domain ? wantedPerS : entry.slices[id]?.wantedPerS ?? 0}));
	return divideRate(entry.total, recipients, domainFloors);
}
