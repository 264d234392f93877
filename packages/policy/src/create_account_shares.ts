/**
 * Rates at which an account's requests arrive, in prompt tokens a second: lately,
 * and usually.
 */
export type AccountRate = [account: string, current: number, usual: number];

/** Engines that a kind of request may use, and how many of them are busy. */
export interface EngineRoom {
  engines: number;
  busyEngines: number;
}

/**
 * Shares the engines of a service between client accounts while demand exceeds
 * their room, in proportion to what each account usually asks for: one that asks
 * for its usual keeps all of its requests, one that asks for far more is cut back
 * towards it. The largest excess is cut first, and only as far as is needed, never
 * below the growth that accounts have in common.
 */
export interface AccountShares {
  /** Counts a request that arrives at this VM. */
  onArrival(account: string, tokens: number, nowMs: number): void;
  /** The sum of this VM's rates under `ALL_ACCOUNTS`, and the largest ones. */
  ownRates(nowMs: number): AccountRate[];
  /** Replaces the rates that other VMs report. */
  setReportedRates(rates: Iterable<AccountRate>): void;
  /** Adjusts the shares to the room; to be called before `takenShare`. */
  update(room: EngineRoom, nowMs: number): void;
  /** Whether demand exceeds the room, so that excess is cut. */
  isContended(): boolean;
  /** Part of an account's requests that is taken, above 0 and at most 1. */
  takenShare(account: string, nowMs: number): number;
}

/** Stands for the sum over all accounts, in place of a name. */
export const ALL_ACCOUNTS = "";

/** Growth, as a multiple of the other accounts', that is exceptional. */
const EXCEPTIONAL_GROWTH = 1.5;
/** Half-life of current rates, in milliseconds. */
const CURRENT_HALF_LIFE_MS = 1000;
/** Half-life of usual rates, in milliseconds. */
const USUAL_HALF_LIFE_MS = 60_000;
/** Share of busy engines at which demand exceeds the room. */
const BEGIN_BUSY_SHARE = 0.9;
/** Share of busy engines below which there is room again. */
const END_BUSY_SHARE = 0.6;
/** Time for which the room is exceeded before anything is cut, in ms. */
const BEGIN_DELAY_MS = 500;
/** Change of the pressure for each second in which the room is exceeded. */
const RISE_PER_SECOND = 2;
/** Change of the pressure for each second in which there is room. */
const FALL_PER_SECOND = 1;
/** Largest pressure: of the largest excess, e^-3 or a twentieth is left. */
const MAX_PRESSURE = 3;
/** Longest time between two updates that counts, in milliseconds. */
const MAX_STEP_MS = 250;
/** Rates that a VM reports. */
const MAX_REPORTED = 8;
/** Rate, as a share of the VM's largest, below which it is not reported. */
const MIN_REPORTED_SHARE = 0.25;
/** Tokens a second below which an account is forgotten. */
const MIN_RATE = 1;

interface Rate {
  tokens: number;
  atMs: number;
}

interface AccountDemand {
  current: Rate;
  usual: Rate;
}

/** Creates the shares of a service without demand. */
export function createAccountShares(startMs: number): AccountShares {
  const demands = new Map<string, AccountDemand>();
  let reported = new Map<string, { current: number; usual: number }>();
  /** Natural logarithm of the largest excess to the one that is left. */
  let pressure = 0;
  let updatedMs = startMs;
  let exceededSinceMs: number | undefined;

  function add(rate: Rate, tokens: number, options: {
    halfLifeMs: number;
    nowMs: number;
  }): void {
    const { halfLifeMs, nowMs } = options;
    rate.tokens = rate.tokens * 2 ** ((rate.atMs - nowMs) / halfLifeMs) +
      tokens;
    rate.atMs = nowMs;
  }

  function count(account: string, tokens: number, nowMs: number): void {
    let demand = demands.get(account);
    if (!demand) {
      demand = {
        current: { tokens: 0, atMs: nowMs },
        usual: { tokens: 0, atMs: nowMs },
      };
      demands.set(account, demand);
    }
    add(demand.current, tokens, { halfLifeMs: CURRENT_HALF_LIFE_MS, nowMs });
    add(demand.usual, tokens, { halfLifeMs: USUAL_HALF_LIFE_MS, nowMs });
  }

  /** Tokens a second; the time before the start does not lower the rate. */
  function perSecond(rate: Rate, halfLifeMs: number, nowMs: number): number {
    const tokens = rate.tokens * 2 ** ((rate.atMs - nowMs) / halfLifeMs);
    const known = 1 - 2 ** (-Math.max(1, nowMs - startMs) / halfLifeMs);
    return tokens * Math.LN2 / halfLifeMs * 1000 / known;
  }

  function ownRatesOf(account: string, nowMs: number) {
    const demand = demands.get(account);
    if (!demand) return { current: 0, usual: 0 };
    return {
      current: perSecond(demand.current, CURRENT_HALF_LIFE_MS, nowMs),
      usual: perSecond(demand.usual, USUAL_HALF_LIFE_MS, nowMs),
    };
  }

  function ratesOf(account: string, nowMs: number) {
    const own = ownRatesOf(account, nowMs);
    const others = reported.get(account);
    return {
      current: own.current + (others?.current ?? 0),
      usual: own.usual + (others?.usual ?? 0),
    };
  }

  /**
   * Current rates as multiples of the usual ones or, if that is more, of an
   * average account's; and the growth of all demand but that of accounts
   * which grew exceptionally.
   */
  function listExcesses(
    nowMs: number,
  ): { excesses: Map<string, number>; commonGrowth: number } {
    const rates = new Map<string, { current: number; usual: number }>();
    let usualSum = 0;
    for (const account of new Set([...demands.keys(), ...reported.keys()])) {
      if (account === ALL_ACCOUNTS) continue;
      const own = ratesOf(account, nowMs);
      rates.set(account, own);
      usualSum += own.usual;
    }
    // A small account may ask for an average one's share.
    const meanUsual = usualSum / Math.max(1, rates.size);
    const excesses = new Map<string, number>();
    for (const [account, { current, usual }] of rates) {
      excesses.set(account, current / Math.max(MIN_RATE, usual, meanUsual));
    }
    const total = ratesOf(ALL_ACCOUNTS, nowMs);
    let { current: commonCurrent, usual: commonUsual } = total;
    for (const [account, { current, usual }] of rates) {
      const othersGrowth = growthOf(
        total.current - current,
        total.usual - usual,
      );
      const limit = othersGrowth * EXCEPTIONAL_GROWTH;
      if (excesses.get(account)! <= limit) continue;
      commonCurrent -= current;
      commonUsual -= usual;
    }
    const commonGrowth = growthOf(commonCurrent, commonUsual);
    return { excesses, commonGrowth };
  }

  return {
    onArrival(account, tokens, nowMs) {
      count(account, tokens, nowMs);
      count(ALL_ACCOUNTS, tokens, nowMs);
    },
    ownRates(nowMs) {
      const list: AccountRate[] = [];
      for (const account of demands.keys()) {
        const { current, usual } = ownRatesOf(account, nowMs);
        if (usual < MIN_RATE) demands.delete(account);
        else list.push([account, Math.round(current), Math.round(usual)]);
      }
      const isTotal = ([account]: AccountRate) => account === ALL_ACCOUNTS;
      list.sort((left, right) =>
        Number(isTotal(right)) - Number(isTotal(left)) || right[1] - left[1]
      );
      // The sum over all accounts comes first.
      const [total, ...accounts] = list;
      if (!total) return [];
      const least = (accounts[0]?.[1] ?? 0) * MIN_REPORTED_SHARE;
      const largest = accounts.slice(0, MAX_REPORTED)
        .filter(([, rate]) => rate >= least);
      return [total, ...largest];
    },
    setReportedRates(list) {
      reported = new Map();
      for (const [account, current, usual] of list) {
        const sum = reported.get(account) ?? { current: 0, usual: 0 };
        reported.set(account, {
          current: sum.current + current,
          usual: sum.usual + usual,
        });
      }
    },
    update({ engines, busyEngines }, nowMs) {
      const stepMs = Math.min(MAX_STEP_MS, nowMs - updatedMs);
      updatedMs = nowMs;
      const busyShare = engines > 0 ? busyEngines / engines : 0;
      if (busyShare < BEGIN_BUSY_SHARE) exceededSinceMs = undefined;
      else exceededSinceMs ??= nowMs;
      const isExceeded = exceededSinceMs !== undefined &&
        nowMs - exceededSinceMs >= BEGIN_DELAY_MS;
      let changePerSecond = 0;
      if (isExceeded) changePerSecond = RISE_PER_SECOND;
      else if (busyShare < END_BUSY_SHARE) changePerSecond = -FALL_PER_SECOND;
      const changed = pressure + changePerSecond * stepMs / 1000;
      pressure = Math.min(MAX_PRESSURE, Math.max(0, changed));
    },
    isContended: () => pressure > 0,
    takenShare(account, nowMs) {
      if (pressure === 0) return 1;
      const { excesses, commonGrowth } = listExcesses(nowMs);
      const excess = excesses.get(account) ?? 0;
      const largest = Math.max(...excesses.values());
      // When all accounts ask for more, none of them crowds out the others.
      const left = Math.max(1, commonGrowth, largest * Math.exp(-pressure));
      return excess > left ? left / excess : 1;
    },
  };
}

/** Current rate as a multiple of the usual one. */
function growthOf(current: number, usual: number): number {
  return Math.max(0, current) / Math.max(MIN_RATE, usual);
}
