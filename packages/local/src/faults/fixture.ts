import process from 'node:process';
import {
	createLogger, createSilentLogger, sha256Hex, SystemTimerService, type TimerService,
} from '@fescuewick/core';
import {documentSchema, type ConfigurationDocument} from '@fescuewick/config';
import {
	startDeployment, writePlatformLists, type Deployment, type DeploymentOptions,
} from '../deployment.js';
import {type Topology} from '../topology.js';
import {type DeployedVm} from '../vm.js';
import {Caller} from './caller.js';
import {RelayRoutes, type PathFilter} from './relay-routes.js';

/** Two failure domains in two regions with two VMs and two backend servers each. */
export const smallTopology: Topology = {
	domains: [
		{name: 'north-a', region: 'north', vms: 2},
		{name: 'south-a', region: 'south', vms: 2},
	],
	services: [{
		name: 'booking', servers: 4, slots: 24, connections: 330, serviceMs: 5,
	}],
};

/** API keys of the workspaces `shop` and `studio`. */
export const shopKey = 'key-of-shop';
export const studioKey = 'key-of-studio';

/** Time to live of look-up answers in fault tests; a draining VM accepts requests for 2 s longer, so that planned stops take 2.5 s. */
const lookupTtlMs = 500;

/** Configuration with two workspaces whose rates are above the load of the tests, a class of each safety and an open route. */
export function faultConfiguration(): ConfigurationDocument {
	return documentSchema.parse({
		classes: [
			{
				name: 'check', latenessTargetMs: 150, deadlineMs: 2000, safety: 'repeatable',
			},
			{
				name: 'reservation', latenessTargetMs: 500, deadlineMs: 3000, safety: 'at-most-once',
			},
		],
		services: [{
			name: 'booking',
			routes: [
				{
					method: 'GET', pathPrefix: '/booking/public', class: 'check', access: 'open',
				},
				{
					method: 'GET', pathPrefix: '/booking/availability', class: 'check', access: 'keyed',
				},
				{
					method: 'POST', pathPrefix: '/booking/reservations', class: 'reservation', access: 'keyed',
				},
			],
		}],
		workspaces: ['shop', 'studio'].map(name => ({name, ratePerS: 20_000, burst: 20_000})),
		keys: [
			{id: 'shop-1', workspace: 'shop', sha256: sha256Hex(shopKey)},
			{id: 'studio-1', workspace: 'studio', sha256: sha256Hex(studioKey)},
		],
		drains: [],
		shiftCaps: [],
	});
}

/** A deployment with relays on its network paths, and a caller that records its results. */
export type Fixture = {
	readonly deployment: Deployment;
	readonly routes: RelayRoutes;
	readonly caller: Caller;
	readonly timers: TimerService;
	/** Returns the VM with this name; throws if there is none. */
	vm(name: string): DeployedVm;
	/** Starts or ends an outage of the store. */
	setStoreDown(isDown: boolean): void;
	/** Sets the time for which all backend servers work on a request. */
	setServiceMs(serviceMs: number): void;
	/** Writes the platform's lists of VMs and backend servers with these VMs marked as leaving. */
	writeLists(leavingVms?: readonly string[]): Promise<void>;
	/** Waits until the check returns true; returns false if it does not within the time-out. */
	waitUntil(check: () => boolean | Promise<boolean>, timeoutMs: number): Promise<boolean>;
};

/** The method of AVA's execution context that the fixture uses. */
type TestScope = {teardown(end: () => Promise<void>): void};

/** Options of a fixture's deployment; the defaults are `smallTopology`, `faultConfiguration()` and the system clock. */
export type FixtureOptions = Partial<Pick<DeploymentOptions, 'topology' | 'configuration' | 'timersOf'>>;

/** Starts a deployment that is stopped at the test's teardown. */
export async function startFixture(t: TestScope, {topology = smallTopology, configuration = faultConfiguration(), timersOf}: FixtureOptions = {}): Promise<Fixture> {
	const timers = new SystemTimerService();
	const routes = new RelayRoutes();
	const level = process.env.FESCUEWICK_FAULT_LOG;
	const deployment = await startDeployment({
		topology, configuration, timers, timersOf, logger: level === undefined ? createSilentLogger() : createLogger('faults', level), routes, lookupTtlMs,
	});
	const caller = new Caller(timers, deployment.backends);
	t.teardown(async () => {
		await caller.close();
		await deployment.stop();
	});
	return {
		deployment, routes, caller, timers,
		vm(name) {
			const found = deployment.vms.find(vm => vm.record.vm === name);
			if (found === undefined) {
				throw new Error(`the deployment has no VM ${name}`);
			}

			return found;
		},
		setStoreDown(isDown) {
			deployment.store.faults.down = isDown;
			deployment.store.wakeAll();
		},
		setServiceMs(serviceMs) {
			for (const {behaviour} of deployment.backends.values()) {
				behaviour.serviceMs = serviceMs;
			}
		},
		async writeLists(leavingVms = []) {
			await writePlatformLists(deployment.store, deployment.backendRecords, deployment.vms.map(({record}) => ({...record, leaving: leavingVms.includes(record.vm)})));
		},
		async waitUntil(check, timeoutMs) {
			const deadlineMs = timers.nowMs() + timeoutMs;
			while (!await check()) {
				if (timers.nowMs() >= deadlineMs) {
					return false;
				}

				await timers.sleep(50);
			}

			return true;
		},
	};
}

/** Selects the paths between a failure domain and other failure domains or the store. */
export function boundaryPathsOf(failureDomain: string): PathFilter {
	return ({from, to, isStore}) => isStore ? from.failureDomain === failureDomain : (from.failureDomain === failureDomain) !== (to?.failureDomain === failureDomain);
}

/** Selects the paths of VMs to the store. */
export function storePathsOf(...vms: readonly string[]): PathFilter {
	return ({from, isStore}) => isStore && vms.includes(from.vm);
}
