#include "console/screen_page.h"

namespace skylarkwing::console {

// clang-format off
// Written by scripts/embed_screen from console/web/screen.html.
const std::string_view kScreenPage = R"screen(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>skylarkwing</title>
<link rel="icon" href="data:,">
<style>
:root {
  --ground: #0d1319; --panel: #17202a; --line: #3b4a59; --text: #f2f6f9; --quiet: #b4c1cd;
  --good: #58d68d; --busy: #ffd166; --bad: #ff7b72; --off: #9fb3c8; --focus: #7cc4ff;
}
* { box-sizing: border-box; }
html { font-size: calc(var(--fit, 1) * clamp(15px, 1.02vw, 44px)); }
[hidden] { display: none !important; }
body { margin: 0; background: var(--ground); color: var(--text); line-height: 1.3;
  font-family: system-ui, "DejaVu Sans", sans-serif; font-variant-numeric: tabular-nums; }
h1, h2, h3, p, ul, ol { margin: 0; padding: 0; }
ul, ol { list-style: none; }
h2 { font-size: 1.05rem; color: var(--quiet); text-transform: uppercase; letter-spacing: .06em;
  margin: 0 0 .45rem; font-weight: 600; }
svg.shape { width: 1em; height: 1em; vertical-align: -.12em; fill: none; stroke: currentColor;
  stroke-width: 3; flex: none; }
.solid { fill: currentColor; }
header { display: flex; flex-wrap: wrap; gap: .2rem 1.5rem; align-items: center;
  padding: .4rem 1.2rem; border-bottom: 2px solid var(--line); }
h1 { font-size: 1.9rem; }
.fact { font-size: 1.3rem; display: flex; align-items: center; gap: .5rem; font-weight: 600; }
.fact small { font-size: 1.1rem; color: var(--quiet); font-weight: 400; }
.good { color: var(--good); } .busy { color: var(--busy); } .bad { color: var(--bad); }
.off { color: var(--off); }
#alarms { display: grid; }
#alarms p { padding: .5rem 1.2rem; font-size: 1.7rem; font-weight: 700; background: #4a1518;
  border-bottom: 2px solid var(--bad); }
#alarms p.note { background: #3d3412; border-color: var(--busy); }
main { padding: .8rem 1.2rem; display: grid; gap: 1rem; grid-template-columns: minmax(0, 1.6fr) minmax(0, 1fr); }
#domains-part { grid-column: 1 / -1; }
#domains { display: grid; gap: .8rem; grid-template-columns: repeat(auto-fit, minmax(19rem, 1fr)); }
.card { background: var(--panel); border: .3rem solid var(--line); border-radius: .4rem;
  padding: .4rem .8rem; display: flex; flex-direction: column; }
.card.out { border-style: dashed; border-color: var(--busy); }
.card h3 { font-size: 1.8rem; display: flex; justify-content: space-between; gap: .6rem; }
.card h3 .word { display: flex; align-items: center; gap: .35rem; }
.card .why { font-size: 1.15rem; min-height: 1.5rem; color: var(--busy); }
.card .why.quiet { color: var(--quiet); }
.counts { display: flex; flex-wrap: wrap; gap: .1rem 1.1rem; font-size: 1.5rem; font-weight: 600; }
.counts span { display: inline-flex; align-items: center; gap: .35rem; white-space: nowrap; }
.vms { display: flex; flex-wrap: wrap; gap: .1rem 1rem; font-size: 1.1rem; margin: .25rem 0; }
.vms li { display: inline-flex; gap: .3rem; align-items: center; }
.row { margin-top: auto; display: flex; justify-content: space-between; align-items: center; gap: 1rem; }
button { font: inherit; font-size: 1.1rem; font-weight: 600; color: var(--text);
  background: #26435f; border: 2px solid #5d88b0; border-radius: .3rem; padding: .3rem .9rem; }
button:hover { background: #315679; }
button.small { font-size: .95rem; padding: .1rem .5rem; }
:focus-visible { outline: .22rem solid var(--focus); outline-offset: .15rem; }
#services h3 { font-size: 1.1rem; color: var(--quiet); margin: 0; padding: .15rem .5rem;
  font-weight: 600; align-self: center; text-align: right; }
#services h3.bad { color: var(--bad); }
#services { display: grid; gap: .4rem; grid-template-columns: repeat(auto-fill, minmax(13.4rem, 1fr)); }
.service { background: var(--panel); border-left: .4rem solid var(--line); padding: .15rem .5rem; }
.service.whole { border-left-color: var(--good); }
.service.ramping { border-left: .4rem double var(--busy); }
.service.lacking { border: .25rem dashed var(--bad); grid-column: span 2; }
.service .name { font-size: 1.12rem; font-weight: 700; display: flex; justify-content: space-between;
  gap: .5rem; white-space: nowrap; }
.long { overflow: hidden; text-overflow: ellipsis; }
.service.lacking .name { font-size: 1.4rem; }
.service .replicas { display: flex; flex-wrap: wrap; gap: 0 .7rem; font-size: 1.02rem;
  font-weight: 600; }
.service .replicas span { display: inline-flex; gap: .25rem; align-items: center; }
.service .load { color: var(--quiet); font-weight: 400; white-space: nowrap; }
.service .gap { font-size: 1.12rem; font-weight: 600; }
aside { display: grid; gap: 1rem; align-content: start; }
table { border-collapse: collapse; width: 100%; font-size: 1.2rem; }
th, td { text-align: right; padding: .12rem .35rem; white-space: nowrap; border-bottom: 1px solid var(--line); }
th:first-child, td:first-child { text-align: left; }
thead th { color: var(--quiet); font-weight: 400; font-size: .98rem; }
.burn { font-weight: 700; white-space: nowrap; }
#history li { border-left: .3rem solid var(--line); padding: .05rem .6rem .3rem; font-size: 1.12rem; }
#history .who { font-weight: 700; }
#history .when, #history .reason { color: var(--quiet); }
#quarantine li { font-size: 1.12rem; display: flex; gap: .6rem; align-items: center;
  flex-wrap: wrap; }
footer { padding: .3rem 1.2rem 1rem; color: var(--quiet); font-size: 1rem; display: flex;
  gap: 1.4rem; flex-wrap: wrap; }
kbd { border: 1px solid var(--quiet); border-radius: .2rem; padding: 0 .35rem; color: var(--text);
  font-family: inherit; }
dialog { background: var(--panel); color: var(--text); border: 3px solid var(--focus);
  border-radius: .5rem; padding: 1.2rem 1.5rem; width: min(42rem, 92vw); font-size: 1.15rem; }
dialog::backdrop { background: rgba(0, 0, 0, .65); }
dialog h2 { color: var(--text); font-size: 1.6rem; text-transform: none; letter-spacing: 0; }
label { display: block; margin: .6rem 0; }
input[type=text], input[type=password] { display: block; width: 100%; font: inherit;
  padding: .35rem .5rem; background: #0d1319; color: var(--text); border: 2px solid var(--line);
  border-radius: .25rem; }
.actions { display: flex; gap: .8rem; margin-top: 1rem; }
.outcome { border-left: .4rem solid var(--bad); padding: .3rem .8rem; margin: .6rem 0; }
.outcome:empty { display: none; }
.stale main { opacity: .4; }
.hidden { position: absolute; width: 1px; height: 1px; overflow: hidden; clip-path: inset(50%); }
@media (max-width: 900px) { main { grid-template-columns: 1fr; } }
@media (prefers-reduced-motion: no-preference) { .pulse { animation: pulse 1.2s infinite alternate; }
  @keyframes pulse { to { opacity: .55; } } }
</style>
</head>
<body>
<svg class="hidden" aria-hidden="true">
  <symbol id="s-full" viewBox="0 0 24 24"><circle class="solid" cx="12" cy="12" r="9"/></symbol>
  <symbol id="s-half" viewBox="0 0 24 24"><circle cx="12" cy="12" r="9"/><path class="solid" d="M12 3a9 9 0 0 0 0 18z"/></symbol>
  <symbol id="s-empty" viewBox="0 0 24 24"><circle cx="12" cy="12" r="9"/></symbol>
  <symbol id="s-ask" viewBox="0 0 24 24"><rect x="3" y="3" width="18" height="18"/><path d="M9 9.5a3 3 0 1 1 3 3.5v1.5M12 17.5v1"/></symbol>
  <symbol id="s-down" viewBox="0 0 24 24"><path d="M3 5h18L12 20z"/></symbol>
  <symbol id="s-cross" viewBox="0 0 24 24"><path d="M4 4l16 16M20 4L4 20" stroke-width="4.5"/></symbol>
  <symbol id="s-dash" viewBox="0 0 24 24"><path d="M3 12h18" stroke-width="5"/></symbol>
  <symbol id="s-tick" viewBox="0 0 24 24"><path d="M3 13l6 7L21 4" stroke-width="4.5"/></symbol>
  <symbol id="s-warn" viewBox="0 0 24 24"><path d="M12 2L23 21H1z"/><path d="M12 9v6M12 17.5v1"/></symbol>
</svg>
<header>
  <h1 id="deployment">skylarkwing</h1>
  <div class="fact" id="force"></div>
  <div class="fact" id="coverage"></div>
  <div class="fact" id="store"></div>
  <div class="fact" id="live"></div>
</header>
<div id="alarms"></div>
<div id="announce" class="hidden" role="status" aria-live="polite"></div>
<main>
  <section id="domains-part" aria-labelledby="h-domains">
    <h2 id="h-domains">Failure domains</h2>
    <div id="domains"></div>
  </section>
  <section aria-labelledby="h-services">
    <h2 id="h-services">Services · shards held · replicas · p99 · requests running/allowed + waiting</h2>
    <div id="services"></div>
  </section>
  <aside>
    <section aria-labelledby="h-burn">
      <h2 id="h-burn">Service-level burn · 1 spends the budget</h2>
      <table>
        <thead><tr><th scope="col">Profile</th><th scope="col">per s</th><th scope="col">p99</th>
          <th scope="col">Late<br>5m · 1h</th><th scope="col">Incomplete<br>5m · 1h</th></tr></thead>
        <tbody id="burn"></tbody>
      </table>
    </section>
    <section aria-labelledby="h-quarantine" id="quarantine-part" hidden>
      <h2 id="h-quarantine">Quarantined requests</h2>
      <ul id="quarantine"></ul>
    </section>
    <section aria-labelledby="h-history">
      <h2 id="h-history">Changes</h2>
      <ol id="history"></ol>
    </section>
  </aside>
</main>
<footer>
  <span><kbd>1</kbd>–<kbd>9</kbd> go to a failure domain</span>
  <span><kbd>Tab</kbd> next control</span>
  <span><kbd>Enter</kbd> take out or bring back</span>
  <span><kbd>Esc</kbd> close</span>
  <span><kbd>T</kbd> enter a token</span>
  <span id="served"></span>
</footer>
<dialog id="token-dialog" aria-labelledby="h-token">
  <form method="dialog">
    <h2 id="h-token">Operator's token</h2>
    <p id="token-fault" class="bad" role="alert"></p>
    <label>Token <input type="password" id="token" autocomplete="off" required></label>
    <label>Your name, for the change history <input type="text" id="author" maxlength="100" autocomplete="off"></label>
    <div class="actions"><button>Connect</button></div>
  </form>
</dialog>
<dialog id="change-dialog" aria-labelledby="h-change">
  <form id="change-form">
    <h2 id="h-change"></h2>
    <p id="change-effect"></p>
    <label>Reason <input type="text" id="reason" maxlength="500" autocomplete="off" required></label>
    <label>Your name <input type="text" id="change-author" maxlength="100" autocomplete="off" required></label>
    <div id="change-outcome" class="outcome" role="alert"></div>
    <label id="force-label" hidden><input type="checkbox" id="force-change"> Do it in spite of this harm</label>
    <div class="actions">
      <button id="change-submit"></button>
      <button type="button" id="change-cancel">Cancel</button>
    </div>
  </form>
</dialog>
<script>
"use strict";
const kQuietLimitMs = 25000;
const kGrowIntervalMs = 10000;
const kLeastFit = 0.7;
const kFitStep = 0.05;
const kReplicaStates = {
  warm: ["s-full", "good"], warming: ["s-half", "busy"], cold: ["s-empty", "busy"],
  unknown: ["s-ask", "busy"], draining: ["s-down", "off"], out: ["s-cross", "off"],
  gone: ["s-dash", "bad"],
};
const kVmStates = {
  alive: ["s-full", "good"], joining: ["s-half", "busy"], suspect: ["s-ask", "busy"],
  leaving: ["s-down", "off"], gone: ["s-dash", "bad"],
};
const state = { failureDomains: [], services: [], profiles: [], quarantine: [], history: [] };
const cards = new Map();
let change = null;
let pending = null;
let isLive = false;
let stream = null;
let shrunkAt = 0;
let fit = 1;

const byId = (id) => document.getElementById(id);

function make(tag, className, ...children) {
  const element = document.createElement(tag);
  if (className) element.className = className;
  element.append(...children);
  return element;
}

function shape(name, label) {
  const svg = document.createElementNS("http://www.w3.org/2000/svg", "svg");
  svg.setAttribute("class", "shape");
  svg.setAttribute("aria-hidden", label ? "false" : "true");
  if (label) { svg.setAttribute("role", "img"); svg.setAttribute("aria-label", label); }
  const use = document.createElementNS("http://www.w3.org/2000/svg", "use");
  use.setAttribute("href", "#" + name);
  svg.append(use);
  return svg;
}

function stateMark(table, name, text) {
  const [symbol, tone] = table[name] || ["s-ask", "busy"];
  return make("span", tone, shape(symbol), text);
}

function stateMarks(table, counts) {
  const order = Object.keys(table);
  return counts.filter((c) => c.count > 0)
    .sort((a, b) => order.indexOf(a.state) - order.indexOf(b.state))
    .map((c) => stateMark(table, c.state, `${c.count} ${c.state}`));
}

function clock(milliseconds) {
  return new Date(milliseconds).toLocaleTimeString("en-GB");
}

function setFact(id, symbol, tone, text, detail) {
  const parts = [shape(symbol), text];
  if (detail) parts.push(make("small", "", detail));
  const fact = byId(id);
  fact.className = "fact " + tone;
  fact.replaceChildren(...parts);
}

function announce(text) { byId("announce").textContent = text; }

function missingText() {
  const names = state.missingVms || [];
  const others = state.members - state.inForce - names.length;
  return "missing: " + names.join(", ") + (others > 0 ? " and " + others + " more" : "");
}

function renderForce() {
  if (!state.generation) {
    setFact("force", "s-ask", "busy", "no configuration is known");
    return;
  }
  const whole = state.inForce >= state.members;
  setFact("force", whole ? "s-tick" : "s-half", whole ? "good" : "busy",
    `generation ${state.generation} in force at ${state.inForce} of ${state.members}`,
    whole ? "" : missingText());
}

function renderCoverage() {
  const lacking = state.services.filter(lacksShards);
  if (!state.serviceCount) {
    setFact("coverage", "s-ask", "busy", "no service is declared");
  } else if (lacking.length) {
    setFact("coverage", "s-warn", "bad", `${lacking.length} of ${state.serviceCount} services lack shards`);
  } else {
    setFact("coverage", "s-tick", "good", `all ${state.serviceCount} services hold every shard`);
  }
}

function renderHeader() {
  byId("deployment").textContent = state.deployment || "skylarkwing";
  byId("served").textContent = state.vm ? "served by " + state.vm : "";
  renderForce();
  renderCoverage();
  setFact("store", state.storeReachable ? "s-tick" : "s-warn", state.storeReachable ? "good" : "busy",
    state.storeReachable ? "store reachable" : "store out");
}

function renderAlarms() {
  const lines = [];
  if (!isLive) lines.push(["", "NOT LIVE: no news from this daemon since " + (state.heardAt ? clock(state.heardAt) : "the start")]);
  if (state.isolated) lines.push(["", "THIS DAEMON IS CUT OFF: it takes no new work"]);
  if (state.storeReachable === false) lines.push(["note", "STORE OUT: no change can be accepted; queries go on"]);
  if (pending) lines.push(["note", pending]);
  byId("alarms").replaceChildren(...lines.map(([tone, text]) => {
    return make("p", tone, shape("s-warn"), " " + text);
  }));
  document.body.classList.toggle("stale", !isLive);
}

function makeCard(name) {
  const card = {
    root: make("article", "card"), title: make("span", "", name), word: make("span", "word"),
    why: make("p", "why"), vms: make("ul", "vms"), upstreams: make("p", "counts"),
    load: make("span", "off"), button: make("button"),
  };
  card.root.setAttribute("aria-label", "Failure domain " + name);
  card.root.append(make("h3", "", card.title, card.word), card.why, card.upstreams, card.vms,
    make("div", "row", card.load, card.button));
  card.button.addEventListener("click", () => openChange(name));
  return card;
}

function renderVm(vm) {
  const [symbol, tone] = kVmStates[vm.state] || ["s-ask", "busy"];
  const behind = vm.generation < state.generation ? ` at generation ${vm.generation}` : "";
  const word = vm.state === "alive" ? "" : " " + vm.state;
  const item = make("li", behind && tone === "good" ? "busy" : tone, shape(symbol),
    vm.vm + word + behind);
  return item;
}

function renderCard(card, domain) {
  card.root.className = domain.out ? "card out" : "card";
  card.word.className = "word " + (domain.out ? "busy" : "good");
  card.word.replaceChildren(shape(domain.out ? "s-cross" : "s-tick"), domain.out ? "OUT" : "IN");
  card.why.className = domain.out ? "why" : "why quiet";
  card.why.textContent = domain.out ? "Taken out: " + (domain.reason || "no reason given") : domain.region;
  const marks = stateMarks(kReplicaStates, domain.upstreams);
  card.upstreams.replaceChildren(...(marks.length ? marks : ["no upstreams"]));
  const more = domain.vmCount - domain.vms.length;
  card.vms.replaceChildren(...domain.vms.map(renderVm));
  if (more > 0) card.vms.append(make("li", "off", `and ${more} more VMs`));
  card.load.textContent = `${domain.inFlight} requests running`;
  card.button.textContent = domain.out ? "Bring back" : "Take out";
  card.button.setAttribute("aria-label", (domain.out ? "Bring back " : "Take out ") + domain.name);
}

function renderDomains() {
  const names = new Set(state.failureDomains.map((d) => d.name));
  for (const [name, card] of cards) {
    if (names.has(name)) continue;
    card.root.remove();
    cards.delete(name);
  }
  for (const domain of state.failureDomains) {
    if (!cards.has(domain.name)) {
      cards.set(domain.name, makeCard(domain.name));
      byId("domains").append(cards.get(domain.name).root);
    }
    renderCard(cards.get(domain.name), domain);
  }
}

function lacksShards(service) {
  return service.shards === 0 || service.shardsHeld < service.shards;
}

function shardsMark(service) {
  const lacking = lacksShards(service);
  const label = lacking ? "lacks shards" : "holds every shard";
  return make("span", lacking ? "bad" : "good", shape(lacking ? "s-warn" : "s-tick", label),
    ` ${service.shardsHeld}/${service.shards}`);
}

function gapLine(service) {
  if (!lacksShards(service)) return "";
  if (service.shards === 0) return make("p", "gap bad", "no snapshot known");
  return make("p", "gap bad", "no replica for shard " + service.missingShards.join(", "));
}

// The name without its index, which stands before the group already.
function nameOf(service) {
  const prefix = service.index + "-";
  const isGrouped = !lacksShards(service) && service.service.startsWith(prefix);
  const name = make("span", "long", isGrouped ? service.service.slice(prefix.length) : service.service);
  name.title = service.index + " / " + service.service;
  return name;
}

function renderService(service) {
  const ramping = service.replicas.some((r) => r.state !== "warm" && r.count > 0);
  const kind = lacksShards(service) ? "lacking" : ramping ? "ramping" : "whole";
  const p99 = service.p99Milliseconds > 0 ? `${Math.round(service.p99Milliseconds)} ms` : "no traffic";
  const waiting = service.queued > 0 ? ` +${service.queued}` : "";
  return make("article", "service " + kind,
    make("p", "name", nameOf(service), shardsMark(service)), gapLine(service),
    make("p", "replicas", ...stateMarks(kReplicaStates, service.replicas),
      make("span", "load", `${p99} · ${service.inFlight}/${service.allowance}${waiting}`)));
}

function renderServices() {
  const groups = new Map();
  for (const service of state.services) {
    const title = lacksShards(service) ? "Lacking shards" : service.index;
    groups.set(title, (groups.get(title) || []).concat(renderService(service)));
  }
  const parts = [];
  for (const [title, boxes] of groups) {
    parts.push(make("h3", title === "Lacking shards" ? "bad" : "", title), ...boxes);
  }
  const more = (state.serviceCount || 0) - state.services.length;
  if (more > 0) parts.push(make("p", "off", `and ${more} more services`));
  byId("services").replaceChildren(...parts);
}

function burnCell(short, long, urgency) {
  const isSpending = short >= 1 || urgency === "ticket";
  const [symbol, tone, word] = urgency === "page" ? ["s-warn", "bad", "urgent"]
    : isSpending ? ["s-half", "busy", "spending"] : ["s-tick", "good", "within budget"];
  return make("td", "burn " + tone, shape(symbol, word), ` ${short.toFixed(1)} · ${long.toFixed(1)}`);
}

function renderBurn() {
  byId("burn").replaceChildren(...state.profiles.map((p) => {
    const name = make("th", "", p.profile);
    name.scope = "row";
    return make("tr", "", name, make("td", "", p.queriesPerSecond.toFixed(p.queriesPerSecond < 10 ? 1 : 0)),
      make("td", "", p.p99Milliseconds > 0 ? Math.round(p.p99Milliseconds) + " ms" : "–"),
      burnCell(p.latencyBurn5m, p.latencyBurn1h, p.latencyUrgency),
      burnCell(p.coverageBurn5m, p.coverageBurn1h, p.coverageUrgency));
  }));
}

function renderHistory() {
  byId("history").replaceChildren(...state.history.map((record) => make("li", "",
    make("p", "", make("span", "who", record.author), ` made generation ${record.generation} `,
      make("span", "when", clock(record.writtenAt))),
    ...record.changes.slice(0, 4).map((line) => make("p", "", line)),
    record.reason ? make("p", "reason", "Reason: " + record.reason) : "")));
}

function renderQuarantine() {
  byId("quarantine-part").hidden = state.quarantine.length === 0;
  byId("quarantine").replaceChildren(...state.quarantine.map((entry) => {
    const button = make("button", "small", "Release");
    button.setAttribute("aria-label", "Release request " + entry.fingerprint);
    button.addEventListener("click", () => release(entry.fingerprint));
    return make("li", "", make("span", "bad", shape("s-warn")), `${entry.fingerprint} on ${entry.index}`,
      make("span", "off", "crashed " + entry.crashedReplicas.join(", ")), button);
  }));
}

const kRenderers = {
  failureDomains: renderDomains, services: renderServices, profiles: renderBurn,
  history: renderHistory, quarantine: renderQuarantine,
};

function followPending() {
  if (!pending || !change || !change.generation) return;
  if (state.generation < change.generation) return;
  const seconds = ((Date.now() - change.acceptedAt) / 1000).toFixed(1);
  if (state.inForce < state.members) {
    pending = `Generation ${change.generation} accepted, in force at ${state.inForce} of ${state.members}; ${missingText()}`;
    return;
  }
  announce(`Generation ${change.generation} is in force at all ${state.members} VMs after ${seconds} s`);
  pending = null;
  change = null;
}

function setFit(value) {
  fit = value;
  document.documentElement.style.setProperty("--fit", String(value));
}

// A shared screen has nobody to scroll it, so the text shrinks a little until all of it shows.
function fitScreen() {
  const overflows = () => document.documentElement.scrollHeight > window.innerHeight;
  if (Date.now() - shrunkAt > kGrowIntervalMs) setFit(1);
  while (overflows() && fit > kLeastFit && window.innerWidth > 900) {
    setFit(fit - kFitStep);
    shrunkAt = Date.now();
  }
}

function take(patch) {
  Object.assign(state, patch);
  state.heardAt = Date.now();
  for (const [name, render] of Object.entries(kRenderers)) {
    if (name in patch || "generation" in patch) render();
  }
  followPending();
  renderHeader();
  renderAlarms();
  fitScreen();
}

function headers() {
  return { "Authorization": "Bearer " + (sessionStorage.getItem("token") || "") };
}

function setLive(live) {
  isLive = live;
  setFact("live", live ? "s-full" : "s-cross", live ? "good" : "bad", live ? "live" : "not live");
  renderAlarms();
}

function takeEvents(text) {
  const events = text.split("\n\n");
  const rest = events.pop();
  for (const event of events) {
    const data = event.split("\n").filter((line) => line.startsWith("data: ")).map((line) => line.slice(6));
    if (data.length) take(JSON.parse(data.join("\n")));
  }
  return rest;
}

async function readStream(body) {
  const reader = body.getReader();
  const decoder = new TextDecoder();
  let text = "";
  for (;;) {
    const quiet = setTimeout(() => stream.abort(), kQuietLimitMs);
    const piece = await reader.read().finally(() => clearTimeout(quiet));
    if (piece.done) return;
    if (!isLive) setLive(true);
    text = takeEvents(text + decoder.decode(piece.value, { stream: true }));
  }
}

async function follow() {
  for (;;) {
    stream = new AbortController();
    try {
      const response = await fetch("/v1/events", { headers: headers(), signal: stream.signal, cache: "no-store" });
      if (response.status === 401) {
        setLive(false);
        await askToken(sessionStorage.getItem("token") ? "This token is not accepted." : "");
        continue;
      }
      if (response.ok) await readStream(response.body);
    } catch (error) {
      // The connection broke; the loop makes another.
    }
    setLive(false);
    await new Promise((resume) => setTimeout(resume, 700 + Math.random() * 800));
  }
}

function askToken(fault) {
  const dialog = byId("token-dialog");
  byId("token-fault").textContent = fault;
  byId("token").value = "";
  byId("author").value = sessionStorage.getItem("author") || "";
  if (!dialog.open) dialog.showModal();
  return new Promise((resume) => dialog.addEventListener("close", () => {
    const token = byId("token").value;
    if (token) sessionStorage.setItem("token", token);
    sessionStorage.setItem("author", byId("author").value);
    resume();
  }, { once: true }));
}

function openChange(name) {
  const domain = state.failureDomains.find((d) => d.name === name);
  change = { name, out: !domain.out, expectedGeneration: state.generation };
  pending = null;
  byId("h-change").textContent = (change.out ? "Take out " : "Bring back ") + name;
  byId("change-effect").textContent = change.out
    ? "It gets no new work within seconds; what runs there ends. Its VMs are handed out no more."
    : "Its replicas count as cold and are warmed up step by step; its VMs are handed out again.";
  byId("change-submit").textContent = change.out ? "Take out" : "Bring back";
  byId("reason").value = "";
  byId("change-author").value = sessionStorage.getItem("author") || "";
  byId("force-change").checked = false;
  byId("force-label").hidden = true;
  byId("change-outcome").replaceChildren();
  byId("change-dialog").showModal();
  byId("reason").focus();
}

function showConflict(outcome) {
  const lines = outcome.conflicts.map((r) => make("p", "",
    make("strong", "", r.author), ` made generation ${r.generation} at ${clock(r.writtenAt)}: `,
    r.changes.join("; "), r.reason ? ` (${r.reason})` : ""));
  byId("change-outcome").replaceChildren(
    make("p", "bad", shape("s-warn"), " Conflict: another operator was first. Nothing was changed."), ...lines,
    make("p", "", "Press again to make the change on top of this."));
  change.expectedGeneration = outcome.generation;
  byId("change-submit").textContent = `${change.out ? "Take out" : "Bring back"} on generation ${outcome.generation}`;
}

function showRefusal(outcome) {
  const harms = outcome.harms || [];
  const faults = (outcome.faults || []).map((f) => f.path + ": " + f.reason);
  byId("change-outcome").replaceChildren(make("p", "bad", shape("s-warn"), " Refused: " + outcome.reason),
    ...harms.concat(faults).map((line) => make("p", "", line)));
  byId("force-label").hidden = harms.length === 0;
}

function showOutcome(outcome) {
  if (outcome.outcome === "conflict") return showConflict(outcome);
  if (outcome.outcome === "unknown") {
    byId("change-outcome").replaceChildren(make("p", "bad", shape("s-warn"),
      " Outcome unknown: the store did not say whether it was written. Look at the changes before you try again."));
    return undefined;
  }
  if (outcome.outcome !== "accepted") return showRefusal(outcome);
  change.generation = outcome.generation;
  change.acceptedAt = Date.now();
  pending = `Generation ${outcome.generation} accepted`;
  announce(pending);
  byId("change-dialog").close();
  followPending();
  renderAlarms();
  return undefined;
}

async function submitChange(event) {
  event.preventDefault();
  sessionStorage.setItem("author", byId("change-author").value);
  byId("change-submit").disabled = true;
  try {
    const response = await fetch("/v1/domains/" + encodeURIComponent(change.name), {
      method: "POST", headers: { ...headers(), "Content-Type": "application/json" },
      body: JSON.stringify({ out: change.out, reason: byId("reason").value, author: byId("change-author").value,
        expectedGeneration: change.expectedGeneration, force: byId("force-change").checked }),
    });
    const outcome = await response.json();
    showOutcome(outcome.outcome ? outcome : { outcome: "refused", reason: outcome.reason });
  } catch (error) {
    showOutcome({ outcome: "unknown" });
  }
  byId("change-submit").disabled = false;
}

async function release(fingerprint) {
  const response = await fetch("/v1/quarantine/" + fingerprint, { method: "DELETE", headers: headers() });
  announce(response.ok ? "Released " + fingerprint : "Not released: status " + response.status);
}

document.addEventListener("keydown", (event) => {
  if (event.ctrlKey || event.altKey || event.metaKey || document.querySelector("dialog[open]")) return;
  if (event.key >= "1" && event.key <= "9") {
    const domain = state.failureDomains[Number(event.key) - 1];
    if (domain) cards.get(domain.name).button.focus();
  }
  if (event.key === "t" || event.key === "T") {
    event.preventDefault();
    askToken("").then(() => stream.abort());
  }
});
byId("change-form").addEventListener("submit", submitChange);
byId("change-cancel").addEventListener("click", () => byId("change-dialog").close());
window.addEventListener("resize", () => { shrunkAt = 0; fitScreen(); });
setLive(false);
follow();
</script>
</body>
</html>
)screen";
// clang-format on

} // namespace skylarkwing::console
