import test from 'ava';
import {DemandEstimate} from './demand-estimate.js';

// Guards against taking a shift for a change of demand before load reports show its effect.
test('the estimate ignores a shift that load reports do not show yet and follows a change of demand', t => {
	const estimate = new DemandEstimate();
	estimate.update({loadPerS: 2000, minAdmittedFraction: 1, maxAdmittedFraction: 1});
	for (const loadPerS of [2000, 1950, 1850, 1800]) {
		estimate.update({loadPerS, minAdmittedFraction: 0.9, maxAdmittedFraction: 1});
		t.is(estimate.demandPerS, 2000);
	}

	estimate.update({loadPerS: 900, minAdmittedFraction: 0.9, maxAdmittedFraction: 0.9});
	t.is(estimate.demandPerS, 1000);
	estimate.update({loadPerS: 0, minAdmittedFraction: 0, maxAdmittedFraction: 0.9});
	t.is(estimate.demandPerS, 1000);
	estimate.adopt(1500);
	estimate.seed(10);
	t.is(estimate.demandPerS, 1500);
});

// Guards against a demand estimate of 0 for a region that has not started yet; the admitted fraction of its blocks then grew by only 2 % per second.
test('the last load of a lost region becomes its demand estimate only if it is above 0', t => {
	const estimate = new DemandEstimate();
	estimate.seed(0);
	t.is(estimate.demandPerS, undefined);
	estimate.seed(20);
	t.is(estimate.demandPerS, 20);
});
