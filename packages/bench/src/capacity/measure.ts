import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** A table of the capacity report; its first column is the size that was varied. */
export type Table = {readonly title: string; readonly columns: readonly string[]; readonly rows: ReadonlyArray<ReadonlyArray<string | number>>};

/** A line fitted to measured costs: `perUnit` is the cost of each further unit, `base` the cost without any unit. */
export type Slope = {readonly name: string; readonly unit: string; readonly perUnit: number; readonly base: number};

/** Result of the measurement of one role, that is a component or a kind of control work of a node. */
export type Section = {readonly role: string; readonly tables: readonly Table[]; readonly slopes: readonly Slope[]};

/** Measures one role in a bounded time. */
export type Measurement = () => Promise<Section>;

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Fits a least-squares line to points `[x, y]`. */
export function fitSlope(name: string, unit: string, points: ReadonlyArray<readonly [number, number]>): Slope {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	const perUnit = variance === 0 ? 0 : points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0) / variance;
	return {
		name, unit, perUnit, base: meanY - (perUnit * meanX),
	};
}

/** CPU time of this process since `since`, in microseconds. */
export function cpuSinceUs(since: NodeJS.CpuUsage): number {
	const {user, system} = process.cpuUsage(since);
	return user + system;
}

/** Mean CPU time of a call of `work`, in microseconds, over as many calls as start within `durationMs`. */
export function cpuUsPerCall(work: () => unknown, durationMs = 150): number {
	work();
	const startedAt = process.hrtime.bigint();
	const cpu = process.cpuUsage();
	let calls = 0;
	do {
		work();
		calls++;
	} while (Number(process.hrtime.bigint() - startedAt) < durationMs * 1e6);

	return cpuSinceUs(cpu) / calls;
}

/** Bytes in the heap and in array buffers after garbage collection. */
export function usedBytes(): number {
	collectGarbage();
	collectGarbage();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

/** Returns the value that `build` creates, and the memory that it takes, in bytes. */
export function measureMemory<Value>(build: () => Value): {value: Value; sizeBytes: number} {
	const before = usedBytes();
	const value = build();
	return {value, sizeBytes: usedBytes() - before};
}

/** Rounds to four significant digits. */
export function roundTo4Digits(value: number): number {
	return Number(value.toPrecision(4));
}
