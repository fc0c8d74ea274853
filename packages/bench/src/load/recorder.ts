import {ResultCode} from '@fescuewick/core';
import {build, type Histogram} from 'hdr-histogram-js';

/** Result of one request, as observed by its caller. */
export type Observation = {
	readonly workspace: string;
	readonly class: string;
	readonly latencyMs: number;
	readonly status: number;
	readonly code: number;
	readonly outcome: string;
	/** Whether the body contained this request's id or was the replayed answer of its order. */
	readonly isOwnAnswer: boolean;
	readonly sentAtMs: number;
	readonly requestId: string;
};

/** Latency of the answered requests of a class, in milliseconds. */
export type LatencySummary = {readonly count: number; readonly p50Ms: number; readonly p99Ms: number; readonly maxMs: number};

/** Number of a workspace's requests by result. */
export type WorkspaceSummary = {
	readonly workspace: string;
	readonly sent: number;
	readonly answered: number;
	/** Number of requests rejected by the rate limit (status 429). */
	readonly refusedRate: number;
	/** Number of other requests that were not answered and did not run. */
	readonly refusedOther: number;
	/** Number of requests of which it is unknown whether they ran. */
	readonly unknown: number;
	/** Repeats of an order that was still running; clients retry these to get the answer. */
	readonly inProgress: number;
};

/** Load measurements of an experiment. */
export type LoadSummary = {
	readonly sent: number;
	readonly answered: number;
	/** Number of answered requests whose body was not the answer to them. */
	readonly notOwn: number;
	readonly byCode: Readonly<Record<string, number>>;
	readonly latency: Readonly<Record<string, LatencySummary>>;
	readonly workspaces: readonly WorkspaceSummary[];
};

const microsPerMs = 1000;

/** Collects observations of one run. */
export class Recorder {
	readonly observations: Observation[] = [];
	readonly #histograms = new Map<string, Histogram>();

	record(observation: Observation): void {
		this.observations.push(observation);
		if (observation.status >= 200 && observation.status < 300) {
			const histogram = this.#histograms.get(observation.class) ?? build({highestTrackableValue: 60_000 * microsPerMs, numberOfSignificantValueDigits: 3});
			this.#histograms.set(observation.class, histogram);
			histogram.recordValue(Math.max(1, Math.round(observation.latencyMs * microsPerMs)));
		}
	}

	/** Summarizes the observations recorded so far. */
	summary(): LoadSummary {
		const byCode: Record<string, number> = {};
		for (const {code} of this.observations) {
			byCode[code] = (byCode[code] ?? 0) + 1;
		}

		const latency: Record<string, LatencySummary> = {};
		for (const [name, histogram] of this.#histograms) {
			latency[name] = {
				count: histogram.totalCount,
				p50Ms: histogram.getValueAtPercentile(50) / microsPerMs,
				p99Ms: histogram.getValueAtPercentile(99) / microsPerMs,
				maxMs: histogram.maxValue / microsPerMs,
			};
		}

		return {
			sent: this.observations.length,
			answered: this.observations.filter(observation => isAnswered(observation)).length,
			notOwn: this.observations.filter(observation => isAnswered(observation) && !observation.isOwnAnswer).length,
			byCode,
			latency,
			workspaces: [...this.#workspaces()],
		};
	}

	* #workspaces(): Generator<WorkspaceSummary> {
		const names = new Set(this.observations.map(observation => observation.workspace));
		for (const workspace of [...names].sort()) {
			const workspaceObservations = this.observations.filter(observation => observation.workspace === workspace);
			yield {
				workspace,
				sent: workspaceObservations.length,
				answered: workspaceObservations.filter(observation => isAnswered(observation)).length,
				refusedRate: workspaceObservations.filter(observation => observation.status === 429).length,
				refusedOther: workspaceObservations.filter(observation => !isAnswered(observation) && observation.status !== 429 && observation.outcome === 'not-run').length,
				unknown: workspaceObservations.filter(observation => observation.outcome === 'unknown').length,
				inProgress: workspaceObservations.filter(observation => observation.code === Number(ResultCode.orderInProgress)).length,
			};
		}
	}
}

function isAnswered({status}: Observation): boolean {
	return status >= 200 && status < 300;
}
