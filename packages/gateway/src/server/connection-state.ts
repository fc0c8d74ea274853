import {nextState, type Chart} from '@fescuewick/core';
import chart from './client-connection.chart.json' with {type: 'json'};

/** Events of a client's connection. */
export enum ConnectionEvent {
	limitReached = 'limitReached',
	belowLimits = 'belowLimits',
	ended = 'ended',
}

/** State of a client's connection. */
export enum ConnectionState {
	/** Requests are read as they come. */
	open = 'open',
	/** A limit is reached; nothing is read. */
	paused = 'paused',
	/** The connection ends; what it still sends is dropped. */
	closing = 'closing',
}

const connectionChart = chart as Chart;

/** State of a connection that was just accepted. */
export const initialConnectionState = connectionChart.initial as ConnectionState;

/** The state after an event; undefined if the event does not change the state. */
export function nextConnectionState(state: ConnectionState, event: ConnectionEvent): ConnectionState | undefined {
	return nextState(connectionChart, state, event) as ConnectionState | undefined;
}
