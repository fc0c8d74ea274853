import {editConfiguration, setWorkspaceRate} from '@fescuewick/config';
import {type Cancel, type PausableTimerService} from '@fescuewick/core';
import {type DeployedVm} from '../vm.js';
import {boundaryPathsOf, type Fixture} from './fixture.js';

/** The parts of a run that its fault uses. */
export type FaultContext = {
	readonly fixture: Fixture;
	readonly timersOf: (vm: string) => PausableTimerService;
	/** Registers an action that runs when the fault ends. */
	onFaultEnd(action: Cancel): void;
	/** Ends the VMs as a crash would and records the start of their down period. */
	kill(...vms: readonly string[]): Promise<void>;
	/** Restarts killed VMs. */
	start(...vms: readonly string[]): Promise<void>;
};

/** A fault of section 1.4 of the design document, or several at once, to which a deployment under mixed load is exposed. */
export type MixedFault = {
	readonly begin: (context: FaultContext) => Promise<void>;
	readonly end?: (context: FaultContext) => Promise<void>;
	/** Default 7,000 ms. */
	readonly durationMs?: number;
	/** VMs at which requests and look-ups may fail or wait during the fault. */
	readonly affectedVms?: readonly string[];
	/** Whether operators cannot reach the store. */
	readonly isStoreUnreachable?: boolean;
	/** Failure domain that is cut off, so that its keys become stale. */
	readonly cutDomain?: string;
	/** VM that is drained during the fault; default `north-a-2`. */
	readonly drainedVm?: string;
	/** Failure domain in which a VM starts during the fault; default `north-a`. */
	readonly joinedDomain?: string;
};

const southVms = ['south-a-1', 'south-a-2'];
/** Shorter than the store time-out of 1,000 ms, so that calls are slow but succeed. */
const slowStoreMs = 400;

/** Runs an action now and at every interval until the fault ends. */
function repeatUntilFaultEnd({fixture, onFaultEnd}: FaultContext, intervalMs: number, action: () => void): void {
	action();
	onFaultEnd(fixture.timers.repeat(intervalMs, action));
}

function loseAnswers(context: FaultContext): void {
	repeatUntilFaultEnd(context, 1000, () => {
		context.fixture.deployment.store.faults.loseAnswers = 2;
	});
}

/** Silences all connections between VMs and to the store, twice with 5 s in between; also those between the daemons of one VM, the first time of `south-a-1` and the second time of `south-a-2`. */
function silenceAll(context: FaultContext): void {
	const {routes, vm} = context.fixture;
	// A VM whose daemons reconnect is briefly missing from look-ups; only one VM at a time is silenced, so that another VM of its region still serves.
	const vmNames = southVms.values();
	repeatUntilFaultEnd(context, 5000, () => {
		routes.silence(() => true);
		routes.silenceLocalLinks(vm(vmNames.next().value ?? 'south-a-1').record);
	});
}

function raceOperators(context: FaultContext): void {
	const {deployment, timers} = context.fixture;
	let round = 0;
	const edit = async (author: string, burst: number): Promise<void> => {
		try {
			await editConfiguration(deployment.store, document => setWorkspaceRate(document, 'studio', {ratePerS: 20_000, burst}), {author, summary: 'race', timers});
		} catch {
			// An operator gives up after too many conflicts.
		}
	};

	repeatUntilFaultEnd(context, 1000, () => {
		round++;
		for (const [index, author] of ['abeba', 'dawit', 'hirut'].entries()) {
			void edit(author, 20_000 + (3 * round) + index);
		}
	});
}

function setPaused({fixture, timersOf}: FaultContext, vm: DeployedVm, isPaused: boolean): void {
	fixture.routes.setHeld(vm.record, isPaused);
	if (isPaused) {
		timersOf(vm.record.vm).pause();
	} else {
		timersOf(vm.record.vm).resume();
	}
}

const storeDown = {
	isStoreUnreachable: true,
	async begin({fixture}: FaultContext) {
		fixture.setStoreDown(true);
	},
	async end({fixture}: FaultContext) {
		fixture.setStoreDown(false);
	},
};

const regionFailure = {
	affectedVms: southVms,
	async begin(context: FaultContext) {
		await context.kill(...southVms);
	},
	async end(context: FaultContext) {
		await context.start(...southVms);
	},
};

const vmCrash = {
	affectedVms: ['south-a-1'],
	async begin(context: FaultContext) {
		await context.kill('south-a-1');
	},
	async end(context: FaultContext) {
		await context.start('south-a-1');
	},
};

const domainCut = {
	affectedVms: southVms,
	cutDomain: 'south-a',
	drainedVm: 'south-a-2',
	joinedDomain: 'south-a',
	durationMs: 13_000,
	async begin({fixture}: FaultContext) {
		fixture.routes.cut(boundaryPathsOf('south-a'));
	},
	async end({fixture}: FaultContext) {
		fixture.routes.heal();
	},
};

const storeSlow = {
	async begin({fixture}: FaultContext) {
		fixture.deployment.store.faults.slowMs = slowStoreMs;
	},
	async end({fixture}: FaultContext) {
		fixture.deployment.store.faults.slowMs = 0;
	},
};

const vmPaused = {
	affectedVms: ['south-a-1'],
	async begin(context: FaultContext) {
		setPaused(context, context.fixture.vm('south-a-1'), true);
	},
	async end(context: FaultContext) {
		setPaused(context, context.fixture.vm('south-a-1'), false);
	},
};

/** Both faults at once; affects the VMs that either of them affects. */
function combine(first: MixedFault, second: MixedFault): MixedFault {
	return {
		...first,
		...second,
		affectedVms: [...first.affectedVms ?? [], ...second.affectedVms ?? []],
		durationMs: Math.max(first.durationMs ?? 0, second.durationMs ?? 0) || undefined,
		isStoreUnreachable: first.isStoreUnreachable ?? second.isStoreUnreachable,
		async begin(context) {
			await first.begin(context);
			await second.begin(context);
		},
		async end(context) {
			await first.end?.(context);
			await second.end?.(context);
		},
	};
}

const beginOnly = (begin: (context: FaultContext) => void): MixedFault => ({
	async begin(context) {
		begin(context);
	},
});

const singleFaults = {
	// Every run withdraws a key, so this row adds no other fault.
	'key-withdrawn-live': beginOnly(() => undefined),
	'process-dies': vmCrash,
	'region-fails': regionFailure,
	'domain-cut': domainCut,
	'store-down': storeDown,
	'store-slow': storeSlow,
	'answer-lost': beginOnly(context => {
		loseAnswers(context);
	}),
	'silent-connection': beginOnly(context => {
		silenceAll(context);
	}),
	'lease-lapsed-paused': vmPaused,
	'operators-race': beginOnly(context => {
		raceOperators(context);
	}),
	'backend-dies': {
		async begin({fixture: {deployment}}: FaultContext) {
			deployment.backends.get('booking-4')!.behaviour.silent = true;
			await deployment.backends.get('booking-5')!.close();
		},
	},
} satisfies Record<string, MixedFault>;

/** Faults by the names of the rows in `docs/fault-matrix.yaml`. */
export const mixedFaults: Readonly<Record<string, MixedFault>> = {
	...singleFaults,
	'store-down+process-dies': combine(storeDown, vmCrash),
	'domain-cut+store-down': combine(domainCut, storeDown),
	'answer-lost+process-dies': combine(singleFaults['answer-lost'], vmCrash),
	'operators-race+answer-lost': combine(singleFaults['operators-race'], singleFaults['answer-lost']),
	'silent-connection+operators-race': combine(singleFaults['silent-connection'], singleFaults['operators-race']),
	'region-fails+store-down': combine(regionFailure, storeDown),
	'store-slow+process-dies': combine(storeSlow, vmCrash),
	'lease-lapsed-paused+store-down': combine(vmPaused, storeDown),
	'process-dies+process-dies': {
		...vmCrash,
		async begin(context) {
			await context.kill('south-a-1');
			await context.fixture.timers.sleep(1500);
			await context.start('south-a-1');
			await context.fixture.timers.sleep(500);
			await context.kill('south-a-1');
		},
	},
};
