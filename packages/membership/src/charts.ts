import {loadChart} from '@fescuewick/core';

/** States of a member in a node's view: those of `MemberState`, and `gone`. */
export const memberChart = loadChart(new URL('../src/charts/member.json', import.meta.url));
/** States of the connection to one peer. */
export const linkChart = loadChart(new URL('../src/charts/link.json', import.meta.url));
