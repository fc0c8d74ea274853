import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Metrics of one process, exposed in the Prometheus text format. */
export class Metrics {
	readonly registry = new Registry();

	constructor(labels: Record<string, string> = {}) {
		this.registry.setDefaultLabels(labels);
	}

	/** Returns the counter of this name, created on first use; names end in their unit or `_total`. */
	counter<Label extends string>(name: string, help: string, labelNames: readonly Label[] = []): Counter<Label> {
		const existing = this.registry.getSingleMetric(name);
		return (existing ?? new Counter({
			name, help, labelNames, registers: [this.registry],
		})) as Counter<Label>;
	}

	/** Returns the gauge of this name, created on first use. */
	gauge<Label extends string>(name: string, help: string, labelNames: readonly Label[] = []): Gauge<Label> {
		const existing = this.registry.getSingleMetric(name);
		return (existing ?? new Gauge({
			name, help, labelNames, registers: [this.registry],
		})) as Gauge<Label>;
	}

	/** Returns the histogram of this name, created on first use; `buckets` are in the unit of the name. */
	histogram<Label extends string>(name: string, help: string, buckets: number[], labelNames: readonly Label[] = []): Histogram<Label> {
		const existing = this.registry.getSingleMetric(name);
		return (existing ?? new Histogram({
			name, help, labelNames, buckets, registers: [this.registry],
		})) as Histogram<Label>;
	}

	/** Returns all metrics in the Prometheus text format. */
	async text(): Promise<string> {
		return this.registry.metrics();
	}
}
