import {sha256Hex, type Logger, type TimerService} from '@fescuewick/core';
import {readConfigurationFile, type ConfigurationDocument} from '@fescuewick/config';
import {
	demoConfiguration, noticeTopology, rentalTopology, startDeployment, type Deployment,
} from '@fescuewick/local';
import {runAction} from './actions.js';
import {Caller} from './caller.js';
import {LoadGenerator} from './load-generator.js';
import {Recorder, type LoadSummary} from './recorder.js';
import {type Scenario} from './scenario.js';

/** Observations of all backend servers during an experiment. */
export type BackendSummary = {
	readonly runs: number;
	readonly shed: number;
	readonly refusedConnections: number;
	/** Number of orders that ran more than once; must be 0. */
	readonly doubledOrders: number;
	/** Number of requests that reached a backend server with the caller's API key; must be 0. */
	readonly keysSeen: number;
	/** Maximum number of concurrent requests at a server, as a fraction of its slots. */
	readonly maxSlotUse: number;
	/** Maximum number of connections at a server, as a fraction of its limit. */
	readonly maxConnectionUse: number;
};

/** Result of an experiment. */
export type ExperimentResult = {
	readonly scenario: string;
	readonly seed: number;
	readonly load: LoadSummary;
	readonly backends: BackendSummary;
	/** Fraction of the requests of workspaces within their rates that were rejected. */
	readonly wrongfulRefusals: number;
	/** Lowest fraction of answered requests among the workspaces within their rates; requests for orders in progress are not counted. */
	readonly worstServed: number;
	/** Number of requests that were reported as "not-run" although a backend server ran them; must be 0. */
	readonly falseNotRun: number;
	readonly storeCalls: Deployment['store']['calls'];
};

const callerCount = 24;

/** Runs a scenario against a fresh deployment in this process. */
export async function runExperiment(scenario: Scenario, deps: {readonly timers: TimerService; readonly logger: Logger}): Promise<ExperimentResult> {
	const {timers, logger} = deps;
	const configuration = experimentConfiguration(scenario);
	const deployment = await startDeployment({
		topology: scenario.topology === 'rental' ? rentalTopology : noticeTopology, configuration, timers, logger,
	});
	const lookupUrls = deployment.vms.map(vm => vm.record.lookupUrl);
	const callers = Array.from({length: callerCount}, (_, index) => new Caller([...lookupUrls.slice(index % lookupUrls.length), ...lookupUrls.slice(0, index % lookupUrls.length)], timers));
	const recorder = new Recorder();
	await timers.sleep(scenario.warmUpMs);
	const generator = new LoadGenerator(scenario, {
		timers, callers, recorder, apiKeyOf: workspaceKey,
	});
	const performAction = async (action: Scenario['actions'][number]) => {
		try {
			await runAction(deployment, action);
		} catch (error) {
			logger.error({err: error, action: action.kind}, 'experiment action failed');
		}
	};

	const cancels = scenario.actions.map(action => timers.after(action.atMs, () => {
		void performAction(action);
	}));
	try {
		await generator.run();
	} finally {
		for (const cancel of cancels) {
			cancel();
		}

		await Promise.all(callers.map(async caller => caller.close()));
		await deployment.stop();
	}

	return evaluate(scenario, configuration, deployment, recorder);
}

/** API key of a workspace in experiments. */
export function workspaceKey(workspace: string): string {
	return `demo-key-${workspace}`;
}

function experimentConfiguration(scenario: Scenario): ConfigurationDocument {
	const document = scenario.configuration === undefined ? demoConfiguration() : keyedConfiguration(scenario.configuration);
	const knownWorkspaces = new Set(document.workspaces.map(workspace => workspace.name));
	for (const {workspace} of scenario.streams) {
		if (!knownWorkspaces.has(workspace)) {
			knownWorkspaces.add(workspace);
			document.workspaces.push({name: workspace, ratePerS: 100, burst: 200});
			document.keys.push({id: `demo-${workspace}`, workspace, sha256: sha256Hex(workspaceKey(workspace))});
		}
	}

	return document;
}

function keyedConfiguration(file: string): ConfigurationDocument {
	const {document} = readConfigurationFile(file);
	return {...document, keys: document.workspaces.map(({name}) => ({id: `demo-${name}`, workspace: name, sha256: sha256Hex(workspaceKey(name))}))};
}

function evaluate(scenario: Scenario, configuration: ConfigurationDocument, deployment: Deployment, recorder: Recorder): ExperimentResult {
	const load = recorder.summary();
	const requestsRun = new Set([...deployment.backends.values()].flatMap(backend => [...backend.observations.requestsRun]));
	const withinRate = load.workspaces.filter(({workspace}) => offeredPerS(scenario, workspace) <= rateOf(configuration, workspace));
	const sentWithinRate = withinRate.reduce((sum, {sent}) => sum + sent, 0);
	const refusedWithinRate = withinRate.reduce((sum, {refusedRate, refusedOther}) => sum + refusedRate + refusedOther, 0);
	return {
		scenario: scenario.name,
		seed: scenario.seed,
		load,
		backends: summarizeBackends(deployment),
		wrongfulRefusals: sentWithinRate === 0 ? 0 : refusedWithinRate / sentWithinRate,
		worstServed: Math.min(1, ...withinRate.map(({sent, answered, inProgress}) => answered / Math.max(1, sent - inProgress))),
		falseNotRun: recorder.observations.filter(({outcome, requestId}) => outcome === 'not-run' && requestsRun.has(requestId)).length,
		storeCalls: deployment.store.calls,
	};
}

function summarizeBackends(deployment: Deployment): BackendSummary {
	const observations = [...deployment.backends.values()].map(backend => ({...backend.observations, behaviour: backend.behaviour}));
	const sum = (valueOf: (observation: typeof observations[number]) => number) => observations.reduce((total, observation) => total + valueOf(observation), 0);
	const runsByOrder = new Map<string, number>();
	for (const observation of observations) {
		for (const [order, runs] of observation.runsByOrder) {
			runsByOrder.set(order, (runsByOrder.get(order) ?? 0) + runs);
		}
	}

	return {
		runs: sum(observation => observation.runs),
		shed: sum(observation => observation.shed),
		refusedConnections: sum(observation => observation.refusedConnections),
		doubledOrders: [...runsByOrder.values()].filter(runs => runs > 1).length,
		keysSeen: sum(observation => observation.keyHeadersSeen.length),
		maxSlotUse: Math.max(...observations.map(observation => observation.maxInFlight / observation.behaviour.slots)),
		maxConnectionUse: Math.max(...observations.map(observation => observation.maxConnections / observation.behaviour.connections)),
	};
}

function offeredPerS(scenario: Scenario, workspace: string): number {
	return scenario.streams.filter(stream => stream.workspace === workspace).reduce((sum, stream) => sum + (stream.ratePerS * (1 + stream.repeatFraction)), 0);
}

function rateOf(configuration: ConfigurationDocument, workspace: string): number {
	return configuration.workspaces.find(({name}) => name === workspace)?.ratePerS ?? 0;
}
