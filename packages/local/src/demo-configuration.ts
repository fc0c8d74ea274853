import {sha256Hex} from '@fescuewick/core';
import {Access, Safety, type ConfigurationDocument} from '@fescuewick/config';

/** API key of the demo workspace `shop-merkato`; valid only in a local deployment. */
export const demoKey = 'demo-key-shop-merkato';

const workspaceNames = ['shop-merkato', 'shop-piazza', 'tailor-bole', 'tailor-kazanchis', 'hall-meskel', 'hall-adwa', 'studio-bahirdar', 'studio-mekelle'];
const largeWorkspaces = new Set(['shop-merkato', 'hall-meskel']);

/** Default configuration of the local deployment: classes, services and workspaces of a rental agency. */
export function demoConfiguration(): ConfigurationDocument {
	return {
		classes: [
			{
				name: 'check', latenessTargetMs: 150, deadlineMs: 1000, safety: Safety.repeatable, repeatWindowMs: 86_400_000,
			},
			{
				name: 'reservation', latenessTargetMs: 500, deadlineMs: 3000, safety: Safety.atMostOnce, repeatWindowMs: 86_400_000,
			},
			{
				name: 'browse', latenessTargetMs: 2000, deadlineMs: 10_000, safety: Safety.repeatable, repeatWindowMs: 86_400_000,
			},
		],
		services: [
			{
				name: 'booking',
				routes: [
					{
						method: 'GET', pathPrefix: '/booking/availability', class: 'check', access: Access.keyed,
					},
					{
						method: 'POST', pathPrefix: '/booking/reservations', class: 'reservation', access: Access.keyed,
					},
				],
			},
			{
				name: 'catalogue',
				routes: [
					{
						method: 'GET', pathPrefix: '/catalogue/public', class: 'browse', access: Access.open,
					},
					{
						method: 'GET', pathPrefix: '/catalogue', class: 'browse', access: Access.keyed,
					},
				],
			},
		],
		workspaces: workspaceNames.map(name => ({name, ratePerS: largeWorkspaces.has(name) ? 400 : 100, burst: largeWorkspaces.has(name) ? 800 : 200})),
		keys: workspaceNames.map(name => ({id: `demo-${name}`, workspace: name, sha256: sha256Hex(`demo-key-${name}`)})),
		drains: [],
		shiftCaps: [
			{service: 'booking', maxPercent: 50, maxPercentPerMinute: 20},
			{service: 'catalogue', maxPercent: 50, maxPercentPerMinute: 20},
		],
	};
}
