Feature: A start of a host does only what a host needs

  Scenario: The build compiles the sources, so that no start does
    Given a copy of the sources that the build command was run in
    When a host's modules are imported from the build without writing byte code
    Then none of the project's modules is compiled

  Scenario: A start reads no certificates
    Given a shared platform with a planned edge
    When the edge is started and would block on reading certificates
    Then it is ready

  Scenario: A start collects garbage only once all modules are imported
    Given a shared platform with a planned edge
    When the edge's settings are checked, which imports all of its modules
    Then the older generations of objects were not collected
    And garbage is collected from then on

  Scenario: A start imports no modules that a host on the shared platform doesn't use
    Given a shared platform with a planned edge
    When the edge is started with a trace of its imports
    Then it is ready
    And none of these modules was imported
      | module                      |
      | aiohttp.web                 |
      | aiohttp.web_app             |
      | aiohttp.web_fileresponse    |
      | aiohttp.web_urldispatcher   |
      | argparse                    |
      | croniter                    |
      | dateutil                    |
      | fastjsonschema              |
      | google.protobuf             |
      | jsonschema                  |
      | opentelemetry.exporter      |
      | opentelemetry.sdk           |
      | pytz                        |
      | requests                    |
      | sapphirerock.load           |
      | sapphirerock.process.orders |
      | sapphirerock.process.router |
      | sapphirerock.standin        |

  Scenario: The pages for readiness and metrics answer one path each
    Given a shared platform with a planned edge
    When the edge is started
    Then it is ready
    And its pages answer these requests
      | page      | method | path                    | status | Allow    |
      | readiness | GET    | /sapphirerock/readiness | 200    |          |
      | readiness | HEAD   | /sapphirerock/readiness | 200    |          |
      | readiness | POST   | /sapphirerock/readiness | 405    | GET,HEAD |
      | readiness | GET    | /metrics                | 404    |          |
      | readiness | GET    | /                       | 404    |          |
      | metrics   | GET    | /metrics                | 200    |          |
      | metrics   | HEAD   | /metrics                | 200    |          |
      | metrics   | DELETE | /metrics                | 405    | GET,HEAD |
      | metrics   | GET    | /sapphirerock/readiness | 404    |          |

  Scenario: A library that a start leaves out is loaded when it is called
    Given a process that imports mode while croniter is deferred
    When it computes the seconds until the next minute by croniter
    Then croniter was loaded by the call, and the seconds are from 0 to 60

  Scenario: Hosts that start together load the store's objects from the seeds
    Given a shared platform with 9 edges in 3 zones
    When all edges are killed and restarted
    Then each edge but the seeds has made at most 4 calls to the store once all are ready

  # Guards against refusals of callers that come back after a loss of power, while their
  # hosts import modules and load their data.
  Scenario: A caller that connects while a host starts is answered
    Given a shared platform with 1 edge and 2 engines of each service
    When the edge is killed, and started so that its imports pause
    And a caller sends an order once the edge listens
    And the imports go on
    Then the order is answered with success

  # Replays the return of a host: times in seconds since its start. Data that comes too
  # late stands for data that never comes.
  Scenario Outline: A request arrives at <arrival> s with <left> s left, data at <data> s
    When a request arrives <arrival> s after a start with <left> s left, and data at <data> s
    Then it is <result> after <wait> s

    Examples:
      | arrival | left | data | result  | wait |
      | 0.0     | 25.0 | 0.3  | served  | 0.3  |
      | 0.0     | 25.0 | 1.2  | served  | 1.2  |
      | 0.9     | 25.0 | 1.2  | served  | 0.3  |
      | 0.0     | 25.0 | 60.0 | refused | 1.5  |
      | 1.0     | 25.0 | 60.0 | refused | 0.5  |
      | 9.0     | 25.0 | 60.0 | refused | 0.0  |
      | 0.0     | 1.5  | 0.3  | served  | 0.3  |
      | 0.0     | 1.5  | 1.2  | refused | 0.5  |
      | 9.0     | 1.5  | 0.3  | served  | 0.0  |
