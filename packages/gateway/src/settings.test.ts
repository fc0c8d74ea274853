import test from 'ava';
import {gatewaySettingsSchema} from './settings.js';

const {hedging} = gatewaySettingsSchema.shape;

test('hedging by quantile is off in a settings file that says nothing of it', t => {
	// Guards against additional work at servers that no operator has allowed.
	t.deepEqual(hedging.parse(undefined), {fraction: 0, quantile: 0.95});
	t.deepEqual(hedging.parse({fraction: 0.02}), {fraction: 0.02, quantile: 0.95});
});

test('fractions and quantiles out of range are refused', t => {
	for (const value of [{fraction: -0.1}, {fraction: 1.1}, {quantile: 0.4}, {quantile: 1}, {fraction: '5 %'}]) {
		t.false(hedging.safeParse(value).success, `${JSON.stringify(value)}`);
	}
});
