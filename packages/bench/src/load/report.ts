import {type ExperimentResult} from './experiment.js';

/** Renders an experiment's result as Markdown. */
export function renderReport(result: ExperimentResult): string {
	const {load, backends} = result;
	const lines = [
		`# ${result.scenario} (seed ${result.seed})`,
		'',
		`${load.sent} requests sent, ${load.answered} answered, ${load.notOwn} answered with another request's body or in part.`,
		'',
		`Wrongful refusals ${percent(result.wrongfulRefusals)}, worst-served workspace inside its rate ${percent(result.worstServed)}.`,
		`Doubled orders ${backends.doubledOrders}, false "not run" ${result.falseNotRun}, caller keys seen by backend servers ${backends.keysSeen}.`,
		`Largest slot use ${percent(backends.maxSlotUse)}, largest connection use ${percent(backends.maxConnectionUse)}, shed by backend servers ${backends.shed}.`,
		`Store calls: ${result.storeCalls.reads} reads, ${result.storeCalls.writes} writes, ${result.storeCalls.watches} watches.`,
		'',
		'| class | answered | p50 ms | p99 ms | max ms |',
		'| --- | --: | --: | --: | --: |',
		...Object.entries(load.latency).map(([name, {count, p50Ms, p99Ms, maxMs}]) => `| ${name} | ${count} | ${p50Ms.toFixed(1)} | ${p99Ms.toFixed(1)} | ${maxMs.toFixed(1)} |`),
		'',
		'| workspace | sent | answered | refused by rate | refused otherwise | unknown |',
		'| --- | --: | --: | --: | --: | --: |',
		...load.workspaces.map(entry => `| ${entry.workspace} | ${entry.sent} | ${entry.answered} | ${entry.refusedRate} | ${entry.refusedOther} | ${entry.unknown} |`),
		'',
		'| code | count |',
		'| --- | --: |',
		...Object.entries(load.byCode).map(([code, count]) => `| ${code} | ${count} |`),
	];
	return `${lines.join('\n')}\n`;
}

function percent(fraction: number): string {
	return `${(fraction * 100).toFixed(2)} %`;
}
