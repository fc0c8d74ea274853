import {parentPort, workerData} from 'node:worker_threads';
import {createLogger} from '@fescuewick/core';
import {startDeployment, testConfiguration} from '@fescuewick/entry/testing';
import {type BackendRecord} from '@fescuewick/wire';
import {startBaselineProxy} from './baseline-proxy.js';

/** Options of a worker thread of the overhead measurement. */
export type ProxyWorkerData = {readonly kind: 'baseline' | 'entry'; readonly records: readonly BackendRecord[]};

/** The test configuration with rates that no measurement reaches. */
export const unlimitedConfiguration = {
	...testConfiguration, workspaces: testConfiguration.workspaces.map(workspace => ({...workspace, ratePerS: 1_000_000, burst: 1_000_000})),
};

// Each proxy runs in a separate thread, so that proxy and load generator do not block each other; in production they are separate processes.
if (parentPort !== null) {
	const {kind, records} = workerData as ProxyWorkerData;
	if (kind === 'baseline') {
		const proxy = await startBaselineProxy(records.map(({address}) => `http://${address}`));
		parentPort.postMessage(proxy.url);
	} else {
		const deployment = await startDeployment({
			backends: [], records: () => [...records], configuration: unlimitedConfiguration, logger: createLogger('bench-entry', 'info'),
		});
		deployment.control.pushPeriodically();
		parentPort.postMessage(deployment.url);
	}
}
