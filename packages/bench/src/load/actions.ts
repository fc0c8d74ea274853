import {applyConfiguration, loadConfiguration} from '@fescuewick/config';
import {FescuewickError, ResultCode} from '@fescuewick/core';
import {writePlatformLists, type Deployment} from '@fescuewick/local';
import {ActionKind, type ScenarioAction} from './scenario.js';

type ActionHandler = (deployment: Deployment, action: ScenarioAction) => Promise<void> | void;

const handlers: Readonly<Record<ActionKind, ActionHandler>> = {
	[ActionKind.storeDown](deployment) {
		deployment.store.faults.down = true;
		deployment.store.wakeAll();
	},
	[ActionKind.storeSlow](deployment, action) {
		deployment.store.faults.slowMs = action.valueMs ?? 500;
	},
	[ActionKind.storeUp](deployment) {
		deployment.store.faults.down = false;
		deployment.store.faults.slowMs = 0;
	},
	async [ActionKind.stopVm](deployment, action) {
		await vmOf(deployment, action).drain();
	},
	async [ActionKind.killVm](deployment, action) {
		await vmOf(deployment, action).kill();
	},
	async [ActionKind.drainBackend](deployment, action) {
		await setLeaving(deployment, action, true);
	},
	async [ActionKind.undrainBackend](deployment, action) {
		await setLeaving(deployment, action, false);
	},
	[ActionKind.silenceBackend](deployment, action) {
		backendOf(deployment, action).behaviour.silent = true;
	},
	[ActionKind.restoreBackend](deployment, action) {
		backendOf(deployment, action).behaviour.silent = false;
	},
	async [ActionKind.withdrawKey](deployment, action) {
		const loaded = await loadConfiguration(deployment.store);
		if (loaded === undefined) {
			throw unknownTargetError(action);
		}

		const document = {...loaded.document, keys: loaded.document.keys.filter(key => key.id !== action.target)};
		await applyConfiguration(deployment.store, loaded, document, {author: 'experiment', summary: `withdraw key ${action.target ?? ''}`});
	},
};

/** Performs one action of a scenario; throws `objectUnknown` if its target does not exist. */
export async function runAction(deployment: Deployment, action: ScenarioAction): Promise<void> {
	await handlers[action.kind](deployment, action);
}

function backendOf(deployment: Deployment, action: ScenarioAction) {
	const backend = deployment.backends.get(action.target ?? '');
	if (backend === undefined) {
		throw unknownTargetError(action);
	}

	return backend;
}

function vmOf(deployment: Deployment, action: ScenarioAction) {
	const vm = deployment.vms.find(({record}) => record.vm === action.target);
	if (vm === undefined) {
		throw unknownTargetError(action);
	}

	return vm;
}

async function setLeaving(deployment: Deployment, action: ScenarioAction, leaving: boolean): Promise<void> {
	backendOf(deployment, action).behaviour.draining = leaving;
	const records = deployment.backendRecords.map(record => record.server === action.target ? {...record, leaving} : record);
	await writePlatformLists(deployment.store, records, deployment.vms.map(vm => vm.record));
}

function unknownTargetError(action: ScenarioAction): FescuewickError {
	return new FescuewickError(ResultCode.objectUnknown, `${action.kind}: target ${action.target ?? '(none)'} does not exist`);
}
