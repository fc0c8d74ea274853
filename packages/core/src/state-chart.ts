import {readFileSync} from 'node:fs';
import {createMachine, transition, type AnyStateMachine} from 'xstate';
import {z} from 'zod';

const chartSchema = z.strictObject({
	id: z.string(),
	initial: z.string(),
	states: z.record(z.string(), z.strictObject({
		on: z.record(z.string(), z.string()).optional(),
		type: z.literal('final').optional(),
	})),
});

/** A state chart as stored in a JSON file. */
export type Chart = z.infer<typeof chartSchema>;

/** Reads a state chart from a JSON file, given by URL; throws a `ZodError` if it does not match the schema. */
export function loadChart(url: URL): Chart {
	return chartSchema.parse(JSON.parse(readFileSync(url, 'utf8')));
}

type Listener = (state: string, previous: string) => void;

/** Machines by chart, shared by the runners of a chart: a machine and its actor take about 17 KB, too much memory for one per runner when there are thousands of runners. */
const machines = new WeakMap<Chart, AnyStateMachine>();

/** A running state chart; events without a transition in the current state are ignored. */
export class ChartRunner {
	#state: string;
	#listeners: Listener[] | undefined;
	#stopped = false;

	constructor(readonly chart: Chart) {
		this.#state = chart.initial;
	}

	/** The current state. */
	get state(): string {
		return this.#state;
	}

	/** Sends an event; returns whether the state changed. */
	send(type: string): boolean {
		const before = this.#state;
		if (this.#stopped || !this.can(type)) {
			return false;
		}

		const machine = machineOf(this.chart);
		const [next] = transition(machine, machine.resolveState({value: before, context: undefined}), {type});
		this.#state = String(next.value);
		if (this.#state === before) {
			return false;
		}

		for (const listener of this.#listeners ?? []) {
			listener(this.#state, before);
		}

		return true;
	}

	/** Whether the event has a transition in the current state. */
	can(type: string): boolean {
		return nextState(this.chart, this.#state, type) !== undefined;
	}

	/** Calls `listener` after each change of state. */
	onChange(listener: Listener): void {
		this.#listeners = [...this.#listeners ?? [], listener];
	}

	stop(): void {
		this.#stopped = true;
	}
}

/** The state that an event leads to, undefined if it has no transition; for charts with too many instances to keep a `ChartRunner` for each. */
export function nextState(chart: Chart, state: string, event: string): string | undefined {
	return chart.states[state]?.on?.[event];
}

function machineOf(chart: Chart): AnyStateMachine {
	let machine = machines.get(chart);
	if (machine === undefined) {
		machine = createMachine(structuredClone(chart));
		machines.set(chart, machine);
	}

	return machine;
}

/** Yields every transition of a chart as source state, event and target state. */
export function * chartTransitions(chart: Chart): Generator<{from: string; event: string; to: string}> {
	for (const [from, {on}] of Object.entries(chart.states)) {
		for (const [event, to] of Object.entries(on ?? {})) {
			yield {from, event, to};
		}
	}
}
